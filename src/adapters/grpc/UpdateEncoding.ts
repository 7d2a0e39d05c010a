/** Encodes updates of the configuration as compressed JSON; routes of large configurations are much alike. */
import { deflateRawSync, inflateRawSync, constants } from 'node:zlib';
import type { DeploymentUpdate } from '../../core/deployment/DeploymentUpdate.js';

/** Maximum size of a decoded update, in bytes; a configuration with thousands of routes takes one megabyte. */
const MAX_DECODED_BYTES = 32 * 1024 * 1024;

/** Marks a map in the JSON text. */
const MAP_TAG = '$map';

function replaceMaps(_key: string, value: unknown): unknown {
  return value instanceof Map ? { [MAP_TAG]: [...value] } : value;
}

function reviveMaps(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || !(MAP_TAG in value)) return value;
  return new Map((value as { [MAP_TAG]: [string, unknown][] })[MAP_TAG]);
}

/** Encodings of updates that several peers fetch. */
const encoded = new WeakMap<DeploymentUpdate, Buffer>();

/** Encodes an update; one object is encoded only once. No bytes stand for undefined. */
export function encodeUpdate(update: DeploymentUpdate | undefined): Buffer {
  if (update === undefined) return Buffer.alloc(0);
  let bytes = encoded.get(update);
  if (bytes === undefined) {
    const text = JSON.stringify(update, replaceMaps);
    bytes = deflateRawSync(text, { level: constants.Z_BEST_SPEED });
    encoded.set(update, bytes);
  }
  return bytes;
}

/**
 * Decodes an update.
 * @returns undefined if there are no bytes
 * @throws the error of zlib or JSON if the bytes are no update
 */
export function decodeUpdate(bytes: Buffer): DeploymentUpdate | undefined {
  if (bytes.length === 0) return undefined;
  const text = inflateRawSync(bytes, { maxOutputLength: MAX_DECODED_BYTES }).toString();
  return JSON.parse(text, reviveMaps) as DeploymentUpdate;
}
