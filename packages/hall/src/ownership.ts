/**
 * Which host of a hall does what, by weighted rendezvous hash (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005): every
 * host works it out alone from its view of the live hosts. A host's share follows its weight, and one that comes, goes or changes its
 * weight moves only its own share.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** Weights of hosts by name, relative to each other; one that is not named has {@link USUAL_WEIGHT}. */
export type Weights = ReadonlyMap<string, number>;

/** All hosts take equal shares. */
export const EQUAL: Weights = new Map();
const USUAL_WEIGHT = 1;

interface Drawn {
    readonly host: string;
    /** Drawn by key and host, as hexadecimal digits. */
    readonly draw: string;
    readonly weight: number;
}

function drawnFor(key: string, host: string, weights: Weights): Drawn {
    const draw = createHash("sha256").update(`${key}\n${host}`).digest("hex");
    return { host, draw, weight: weights.get(host) ?? USUAL_WEIGHT };
}

/** Hexadecimal digits of a draw that a number holds exactly. */
const DIGITS = 13;

/** How high a host comes by its draw and weight: the first of several with a chance that is its share of all weights. */
function scoreOf({ draw, weight }: Drawn): number {
    const uniform = (parseInt(draw.slice(0, DIGITS), 16) + 0.5) / 16 ** DIGITS;
    return -weight / Math.log(uniform);
}

function byDraw(a: Drawn, b: Drawn): number {
    return a.draw < b.draw ? 1 : -1;
}

/**
 * Hosts by rank for a key, the first one first.
 *
 * @example
 * ```ts
 * rank("endpoint/e1", ["k1-a", "k1-b"])[0]; // its owner
 * rank("endpoint/e1", ["k1-a", "k1-b"], new Map([["k1-b", 4]]))[0]; // k1-b for four keys of five
 * ```
 */
export function rank(key: string, hosts: readonly string[], weights: Weights = EQUAL): readonly string[] {
    const drawn = hosts.map(host => drawnFor(key, host, weights));
    const isEven = drawn.every(({ weight }) => weight === drawn[0]!.weight);
    // With equal weights scores come in the order of the draws, which costs no logarithms.
    if (isEven) return drawn.sort(byDraw).map(({ host }) => host);
    const scored = drawn.map(item => ({ item, score: scoreOf(item) }));
    scored.sort((a, b) => b.score - a.score || byDraw(a.item, b.item));
    return scored.map(({ item: { host } }) => host);
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
export function ownerOf(key: string, hosts: readonly string[], weights: Weights = EQUAL): string | undefined {
    return rank(key, hosts, weights)[0];
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
export function watches(host: string, hosts: readonly string[], weights: Weights = EQUAL): boolean {
    return rank("settings-watch", hosts, weights).slice(0, WATCHERS).includes(host);
}
