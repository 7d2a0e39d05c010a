import { InvariantKind, type Invariants } from '../Invariant.js';
import {
  ObjectKind,
  type Change,
  type CommittedTicket,
  type ObjectInForce,
  type ObjectStates,
  type Snapshot,
} from './Types.js';

/** Key of an object within a configuration. */
export function objectKey(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`;
}

/** The objects in force once all tickets up to a number are applied, strictly in order. */
export class Configuration {
  private readonly objects = new Map<string, ObjectInForce>();

  private readonly removed = new Map<string, number>();

  private readonly listeners = new Set<() => void>();

  private applied = 0;

  public constructor(private readonly invariants: Invariants) {}

  /** Number of the last applied ticket; 0 before the first. */
  public get ticketNumber(): number {
    return this.applied;
  }

  /** Calls `listener` after each applied ticket or snapshot, until the result is disposed of. */
  public onChange(listener: () => void): { dispose(): void } {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /**
   * Applies the next ticket.
   * @returns false, with no change, when the ticket is not the next one
   */
  public apply(ticket: CommittedTicket): boolean {
    if (ticket.number !== this.applied + 1) return false;
    for (const change of ticket.changes) this.applyChange(ticket, change);
    this.advance(ticket.number);
    return true;
  }

  /**
   * Replaces all objects by those of a newer snapshot.
   * @returns false, with no change, when the snapshot is not newer
   */
  public load(snapshot: Snapshot): boolean {
    if (snapshot.number <= this.applied) return false;
    this.objects.clear();
    this.removed.clear();
    for (const object of snapshot.objects)
      this.objects.set(objectKey(object.kind, object.name), object);
    for (const [key, ticket] of Object.entries(snapshot.removed)) this.removed.set(key, ticket);
    this.advance(snapshot.number);
    return true;
  }

  /** A snapshot of all objects in force. */
  public snapshot(): Snapshot {
    return {
      number: this.applied,
      objects: [...this.objects.values()],
      removed: Object.fromEntries(this.removed),
    };
  }

  /** Finds an object in force. */
  public find<K extends ObjectKind>(kind: K, name: string): ObjectInForce<K> | undefined {
    return this.objects.get(objectKey(kind, name)) as ObjectInForce<K> | undefined;
  }

  /** Finds the state of an object in force. */
  public state<K extends ObjectKind>(kind: K, name: string): ObjectStates[K] | undefined {
    return this.find(kind, name)?.state;
  }

  /** All objects in force of one kind. */
  public list<K extends ObjectKind>(kind: K): ObjectInForce<K>[] {
    const found: ObjectInForce<K>[] = [];
    for (const object of this.objects.values()) {
      if (object.kind === kind) found.push(object as ObjectInForce<K>);
    }
    return found;
  }

  /** Number of the ticket that last changed or removed an object; 0 when none did. */
  public lastTicket(kind: ObjectKind, name: string): number {
    const key = objectKey(kind, name);
    return this.objects.get(key)?.ticket ?? this.removed.get(key) ?? 0;
  }

  private applyChange(ticket: CommittedTicket, change: Change): void {
    const key = objectKey(change.kind, change.name);
    if (change.state === undefined) {
      this.objects.delete(key);
      this.removed.set(key, ticket.number);
      return;
    }
    const replaced = this.lastTicket(change.kind, change.name);
    this.removed.delete(key);
    this.objects.set(key, {
      kind: change.kind,
      name: change.name,
      state: change.state,
      ticket: ticket.number,
      replaced,
      author: ticket.author,
      reason: ticket.reason,
      at: ticket.at,
    });
  }

  private advance(number: number): void {
    this.invariants.check(
      InvariantKind.TicketOrder,
      number > this.applied,
      () => `ticket ${number} would follow ${this.applied}`,
    );
    this.applied = number;
    for (const listener of this.listeners) listener();
  }
}
