/**
 * Which host of a hall does what, by rendezvous hash (Thaler and Ravishankar 1998): every host works it out alone from
 * its view of the live hosts, and a host that comes or goes moves only its own share.
 *
 * @module
 */
import { createHash } from "node:crypto";

function weight(key: string, host: string): string {
    return createHash("sha256").update(`${key}\n${host}`).digest("hex");
}

/**
 * Hosts by rank for a key, the first one first.
 *
 * @example
 * ```ts
 * rank("endpoint/e1", ["k1-a", "k1-b"])[0]; // its owner
 * ```
 */
export function rank(key: string, hosts: readonly string[]): readonly string[] {
    const weighed = hosts.map(host => ({ host, weight: weight(key, host) }));
    return weighed.sort((a, b) => a.weight < b.weight ? 1 : -1).map(({ host }) => host);
}

/**
 * Which of a number of shards a key belongs to.
 *
 * @example
 * ```ts
 * shardOf("e1", 1); // 0
 * ```
 */
export function shardOf(key: string, shards: number): number {
    return shards <= 1 ? 0 : createHash("sha256").update(key).digest().readUInt32BE(0) % shards;
}

/** The host that owns a key, or undefined where no host is alive. */
export function ownerOf(key: string, hosts: readonly string[]): string | undefined {
    return rank(key, hosts)[0];
}

/** Hosts of a hall that watch the settings in the platform's service; the others hear from peers. */
export const WATCHERS = 2;

/**
 * Whether a host is one of its hall's watchers.
 *
 * @example
 * ```ts
 * watches("k1-a", ["k1-a", "k1-b", "k1-c"]);
 * ```
 */
export function watches(host: string, hosts: readonly string[]): boolean {
    return rank("settings-watch", hosts).slice(0, WATCHERS).includes(host);
}
