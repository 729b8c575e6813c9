/**
 * An immutable map. An update copies one small shard and shares the rest, so that keeping earlier states stays cheap
 * with thousands of keys.
 *
 * @module
 */

/** At 25,600 keys a shard holds 50 entries, and copying the shard costs about as much as copying the list of shards. */
const SHARDS = 512;

/** An immutable map with string keys. */
export interface ShardMap<V> {
    readonly shards: readonly ReadonlyMap<string, V>[];
    readonly size: number;
}

/**
 * The empty map.
 *
 * @example
 * ```ts
 * const limits = setIn(emptyMap<number>(), "payroll", 3);
 * ```
 */
export function emptyMap<V>(): ShardMap<V> {
    return { shards: new Array<ReadonlyMap<string, V>>(SHARDS).fill(new Map()), size: 0 };
}

/** FNV-1a over UTF-16 code units; serves only to distribute keys over shards. */
function shardOf(key: string): number {
    let hash = 0x811c9dc5;
    for (let at = 0; at < key.length; at++) hash = Math.imul(hash ^ key.charCodeAt(at), 0x01000193);
    return (hash >>> 0) % SHARDS;
}

export function getIn<V>(map: ShardMap<V>, key: string): V | undefined {
    return map.shards[shardOf(key)]!.get(key);
}

/** Returns the map with a key set. */
export function setIn<V>(map: ShardMap<V>, key: string, value: V): ShardMap<V> {
    return replace(map, shardOf(key), shard => shard.set(key, value));
}

/** Returns the map without a key; the same map if it has none. */
export function deleteIn<V>(map: ShardMap<V>, key: string): ShardMap<V> {
    const at = shardOf(key);
    return map.shards[at]!.has(key) ? replace(map, at, shard => shard.delete(key)) : map;
}

/** Iterates over all entries. The order is unspecified, but the same for the same contents and history. */
export function* entriesOf<V>(map: ShardMap<V>): IterableIterator<readonly [string, V]> {
    for (const shard of map.shards) yield* shard;
}

function replace<V>(map: ShardMap<V>, at: number, change: (shard: Map<string, V>) => unknown): ShardMap<V> {
    const old = map.shards[at]!;
    const shard = new Map(old);
    change(shard);
    const shards = map.shards.slice();
    shards[at] = shard;
    return { shards, size: map.size + shard.size - old.size };
}
