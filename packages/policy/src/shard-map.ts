/**
 * A map as a value: an update copies one small shard and shares the rest, so that keeping old states is cheap at
 * thousands of keys.
 *
 * @module
 */

/** At 25,600 keys a shard holds 50; both copies of an update then cost about the same. */
const SHARDS = 512;

/** An immutable map from text keys. */
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

/** FNV-1a over UTF-16 units; only spreads keys over shards. */
function shardOf(key: string): number {
    let hash = 0x811c9dc5;
    for (let at = 0; at < key.length; at++) hash = Math.imul(hash ^ key.charCodeAt(at), 0x01000193);
    return (hash >>> 0) % SHARDS;
}

/** The value of a key, or undefined. */
export function getIn<V>(map: ShardMap<V>, key: string): V | undefined {
    return map.shards[shardOf(key)]!.get(key);
}

/** The map with a key set. */
export function setIn<V>(map: ShardMap<V>, key: string, value: V): ShardMap<V> {
    return replace(map, shardOf(key), shard => shard.set(key, value));
}

/** The map without a key. */
export function deleteIn<V>(map: ShardMap<V>, key: string): ShardMap<V> {
    const at = shardOf(key);
    return map.shards[at]!.has(key) ? replace(map, at, shard => shard.delete(key)) : map;
}

/** All entries, in no particular but a repeatable order. */
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
