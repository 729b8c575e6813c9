/**
 * Assigns work to the hosts of a hall by weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005).
 * Each host computes the assignment locally from its view of the live hosts. A host's share is proportional to its weight. When a host
 * joins, leaves or changes its weight, only its own share moves.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Relative weights of hosts by name. A host that is not in the map has {@link DEFAULT_WEIGHT}. */
export type Weights = ReadonlyMap<string, number>;

/** Gives all hosts equal shares. */
export const EQUAL_WEIGHTS: Weights = new Map();
const DEFAULT_WEIGHT = 1;

interface HashedHost {
    readonly host: string;
    /** Hash of key and host, as hexadecimal digits. */
    readonly hashHex: string;
    readonly weight: number;
}

function hashHost(key: string, host: string, weights: Weights): HashedHost {
    const hashHex = createHash("sha256").update(`${key}\n${host}`).digest("hex");
    return { host, hashHex, weight: weights.get(host) ?? DEFAULT_WEIGHT };
}

/** As many hexadecimal digits of a hash as a double represents exactly. */
const HASH_DIGITS = 13;

/** Returns the host's score for the key. A host has the highest score with a probability of its weight by the sum of all weights. */
function scoreOf({ hashHex, weight }: HashedHost): number {
    const uniform = (parseInt(hashHex.slice(0, HASH_DIGITS), 16) + 0.5) / 16 ** HASH_DIGITS;
    return -weight / Math.log(uniform);
}

function compareHashes(a: HashedHost, b: HashedHost): number {
    return a.hashHex < b.hashHex ? 1 : -1;
}

/**
 * Returns hosts in the order of their rank for a key, highest first.
 *
 * @example
 * ```ts
 * rank("endpoint/e1", ["k1-a", "k1-b"])[0]; // its owner
 * rank("endpoint/e1", ["k1-a", "k1-b"], new Map([["k1-b", 4]]))[0]; // k1-b for four keys in five
 * ```
 */
export function rank(key: string, hosts: readonly string[], weights: Weights = EQUAL_WEIGHTS): readonly string[] {
    const hashed = hosts.map(host => hashHost(key, host, weights));
    const hasEqualWeights = hashed.every(({ weight }) => weight === hashed[0]!.weight);
    // With equal weights the scores have the same order as the hashes, so that no logarithms are needed.
    if (hasEqualWeights) return hashed.sort(compareHashes).map(({ host }) => host);
    const scored = hashed.map(item => ({ item, score: scoreOf(item) }));
    scored.sort((a, b) => b.score - a.score || compareHashes(a.item, b.item));
    return scored.map(({ item: { host } }) => host);
}

/**
 * Returns the shard that a key belongs to, from 0 to `shards - 1`.
 *
 * @example
 * ```ts
 * shardOf("e1", 1); // 0
 * ```
 */
export function shardOf(key: string, shards: number): number {
    return shards <= 1 ? 0 : createHash("sha256").update(key).digest().readUInt32BE(0) % shards;
}

/** Returns the host that owns a key: the first by rank, or undefined if there are no hosts. */
export function ownerOf(key: string, hosts: readonly string[], weights: Weights = EQUAL_WEIGHTS): string | undefined {
    return rank(key, hosts, weights)[0];
}

/** How many hosts of a hall watch the platform's store. The others learn of changes from peers. */
export const WATCHERS_PER_HALL = 2;

/**
 * Returns whether a host is one of its hall's watchers of the settings.
 *
 * @example
 * ```ts
 * isWatcher("k1-a", ["k1-a", "k1-b", "k1-c"]);
 * ```
 */
export function isWatcher(host: string, hosts: readonly string[], weights: Weights = EQUAL_WEIGHTS): boolean {
    return rank("settings-watch", hosts, weights).slice(0, WATCHERS_PER_HALL).includes(host);
}
