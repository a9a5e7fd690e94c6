/** Identifiers, and the mapping of keys to shards. @module */

/** Name of a service, such as `orderdesk`. */
export type ServiceName = string;
/** Name of an availability zone, such as `toledo`. */
export type Zone = string;
/** Identifier of a VM: an entry VM or a backend server. */
export type VmId = string;
/** `service/zone`: the backend servers of one service in one zone. */
export type GroupId = `${string}/${string}`;
/**
 * Unit of ownership: `s:<n>` is a shard, `k:<key>` is a single key that has
 * been split out of its shard.
 */
export type UnitId = `s:${number}` | `k:${string}`;

/** Formats the identifier of the group of a service in a zone. */
export function formatGroup(service: ServiceName, zone: Zone): GroupId {
  return `${service}/${zone}`;
}

/** Parses a group identifier into its service and zone. */
export function parseGroup(group: GroupId): [ServiceName, Zone] {
  const at = group.lastIndexOf("/");
  return [group.slice(0, at), group.slice(at + 1)];
}

/** Computes a 32-bit FNV-1a hash of the UTF-16 code units, with a finalizer. */
export function hashString(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
  }
  // Without the finalizer, the low bits of similar keys are correlated.
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/** Returns the shard that contains `key`, of a total of `shards`. */
export function computeShard(key: string, shards: number): UnitId {
  return `s:${hashString(key) % shards}`;
}

/** Ranks `nodes` for `subject` by rendezvous hashing, most preferred first. */
export function rankNodes(subject: string, nodes: readonly VmId[]): VmId[] {
  return nodes
    .map((id) => ({ id, weight: hashString(`${subject}\u0000${id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map((e) => e.id);
}
