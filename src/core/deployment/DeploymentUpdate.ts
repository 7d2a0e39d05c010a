/** Differences between deployments, so that a small change of a large deployment is a small message. */
import type { CallerLimits, ClientAccount, Deployment, RequestRoute, Service } from './Types.js';

/** An item that its name identifies. */
interface Named {
  readonly name: string;
}

/** Differences between two lists of named items. */
export interface ItemChanges<T> {
  /** Items that are new or differ. */
  readonly changed: readonly T[];
  /** Names of the items that are gone. */
  readonly removed: readonly string[];
}

/** The deployment of a ticket, stated as its differences from the one that it builds on. */
export interface DeploymentUpdate {
  /** Ticket of the deployment that the update builds on; 0 if the update is complete. */
  readonly base: number;
  readonly ticket: number;
  readonly routes: ItemChanges<RequestRoute>;
  /** Undefined when requests need no keys. */
  readonly accounts: ItemChanges<ClientAccount> | undefined;
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
}

/** Whether two items are equal. Both come from the same decoder, so their properties have one order. */
function isEqual(a: unknown, b: unknown): boolean {
  return a === b || JSON.stringify(a) === JSON.stringify(b);
}

/** Lists the entries of a map, which a JSON text would otherwise leave out. */
function listEntries(_key: string, value: unknown): unknown {
  return value instanceof Map ? [...value] : value;
}

/** Whether two items that hold maps are equal; slower than `isEqual`. */
function isEqualWithMaps(a: unknown, b: unknown): boolean {
  return JSON.stringify(a, listEntries) === JSON.stringify(b, listEntries);
}

function byName<T extends Named>(items: readonly T[]): Map<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}

function hasUniqueNames(items: readonly Named[]): boolean {
  return new Set(items.map(({ name }) => name)).size === items.length;
}

function diffItems<T extends Named>(before: readonly T[], after: readonly T[]): ItemChanges<T> {
  const known = byName(before);
  const changed: T[] = [];
  for (const item of after) {
    const old = known.get(item.name);
    known.delete(item.name);
    if (!isEqual(old, item)) changed.push(item);
  }
  return { changed, removed: [...known.keys()] };
}

function applyChanges<T extends Named>(
  items: readonly T[],
  { changed, removed }: ItemChanges<T>,
): readonly T[] {
  if (items.length === 0) return changed;
  const result = byName(items);
  for (const name of removed) result.delete(name);
  for (const item of changed) result.set(item.name, item);
  return [...result.values()];
}

/** Replaces items that equal one of `known` by that one. */
function shareItems<T extends Named>(
  known: readonly T[],
  items: readonly T[],
  areEqual: (a: T, b: T) => boolean = isEqual,
): readonly T[] {
  const old = byName(known);
  return items.map((item) => {
    const candidate = old.get(item.name);
    return candidate !== undefined && areEqual(candidate, item) ? candidate : item;
  });
}

/**
 * Returns `deployment` with the unchanged routes, services and accounts of `previous`, so that a history of
 * deployments takes little memory and is compared fast, and what is derived from a service stays in use.
 */
export function shareUnchanged(previous: Deployment, deployment: Deployment): Deployment {
  const [before, after] = [previous, deployment].map(({ services }) => [...services.values()]);
  return {
    ...deployment,
    routes: shareItems(previous.routes, deployment.routes),
    services: byName(shareItems(before, after, isEqualWithMaps)),
    accounts: deployment.accounts && shareItems(previous.accounts ?? [], deployment.accounts),
  };
}

/** Returns a complete update, which needs no earlier deployment. */
export function completeUpdate(deployment: Deployment): DeploymentUpdate {
  const { accounts, routes } = deployment;
  return {
    ...deployment,
    base: 0,
    routes: { changed: routes, removed: [] },
    accounts: accounts && { changed: accounts, removed: [] },
  };
}

/** Returns the update from one deployment to another; a complete one if names do not identify the items. */
export function updateBetween(before: Deployment, after: Deployment): DeploymentUpdate {
  const lists = [before.routes, after.routes, before.accounts ?? [], after.accounts ?? []];
  if (!lists.every(hasUniqueNames)) return completeUpdate(after);
  return {
    ...after,
    base: before.ticket,
    routes: diffItems(before.routes, after.routes),
    accounts: after.accounts && diffItems(before.accounts ?? [], after.accounts),
  };
}

/**
 * Applies an update.
 * @param current - the deployment in force; undefined before the first one
 * @returns undefined if the update builds on another deployment than `current`
 */
export function applyUpdate(
  current: Deployment | undefined,
  update: DeploymentUpdate,
): Deployment | undefined {
  const { base, ticket, routes, accounts, services, limits } = update;
  const isComplete = base === 0;
  if (!isComplete && base !== current?.ticket) return undefined;
  const before = isComplete ? undefined : current;
  return {
    ticket,
    routes: applyChanges(before?.routes ?? [], routes),
    accounts: accounts && applyChanges(before?.accounts ?? [], accounts),
    services,
    limits,
  };
}
