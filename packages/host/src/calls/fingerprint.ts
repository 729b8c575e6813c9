/**
 * Identifies calls by their content, and the parts that calls share: a caller that repeats a call gives it another id, and may send
 * it to any host.
 *
 * @module
 */
import type { GenerationBody, GenerationHead } from "@drumpaddle/protocol";
import { createHash, type Hash } from "node:crypto";

/** The parts of a call that identify it. */
export interface CallContent {
    readonly method: string;
    /** The host name in the call's head. */
    readonly host: string;
    /** Path with the query. */
    readonly target: string;
    /** Empty if the route needs no key. */
    readonly workspace: string;
    readonly body: Buffer | undefined;
}

/** Length of the truncated hash: two different calls collide once in about 2^64 calls. */
const FINGERPRINT_BYTES = 16;

/**
 * Returns the fingerprint of a call, of 22 characters. It can be logged, as the body cannot be derived from the hash.
 *
 * @example
 * ```ts
 * fingerprintOf({ method: "POST", host: "api.example", target: "/draft/x", workspace: "payroll", body });
 * ```
 */
export function fingerprintOf({ method, host, target, workspace, body }: CallContent): string {
    const head = JSON.stringify([method, host, target, workspace]);
    const hash = createHash("sha256").update(head);
    if (body) hash.update(body);
    return shortHash(hash);
}

/** How many parts of a prompt are named. A longer list of parts is cut off, so that a single call cannot fill a host's records. */
const MAX_NAMED_PARTS = 32;
/** Model names and ids of parts that can be given out as they are; others are replaced by their hash. */
const PLAIN_NAME = /^[\w.-]{1,64}$/;

/**
 * Returns the names of the parts of a prompt that other calls may share, which are all but the last. The same part read by another
 * model has another name, as it meets other weights.
 *
 * @example
 * ```ts
 * const parts = [{ id: "5C1E07A2", tokens: 800 }, { id: "e4402b7d", tokens: 250 }];
 * sharedPartsOf({ ...generation, model: "m", parts }); // ["part:m:5c1e07a2"]
 * ```
 */
export function sharedPartsOf(generation: Pick<GenerationHead, "model" | "parts"> | undefined): readonly string[] {
    if (!generation) return [];
    return partNames(generation.model, generation.parts, ({ id }) => id.toLowerCase());
}

/**
 * Returns the names of the messages of a chat that other calls may share, which are all but the last. A text completion has none.
 *
 * @example
 * ```ts
 * sharedMessagesOf({ model: "m", messages: [system, question] }); // ["part:m:" and the hash of the system message]
 * ```
 */
export function sharedMessagesOf(body: GenerationBody): readonly string[] {
    if (!("messages" in body)) return [];
    return partNames(
        body.model,
        body.messages,
        message => shortHash(createHash("sha256").update(JSON.stringify(message))),
    );
}

/** Longer bodies are not compared apart from the calls that they belong to: hashing them twice would take milliseconds. */
const MAX_NAMED_BODY_BYTES = 262_144;

/**
 * Returns the name of a body, which calls to other paths, or of other workspaces, may have as well; none for an empty or a long one.
 *
 * @example
 * ```ts
 * sharedBodyOf(Buffer.from("{}")); // ["body:RBNvo1WzZ4oRRq0W9-hknw"]
 * ```
 */
export function sharedBodyOf(body: Buffer | undefined): readonly string[] {
    if (!body || body.length === 0 || body.length > MAX_NAMED_BODY_BYTES) return [];
    return [`body:${shortHash(createHash("sha256").update(body))}`];
}

/** Names all parts but the last, each once. */
function partNames<T>(model: string, parts: readonly T[], idOf: (part: T) => string): readonly string[] {
    const shared = parts.slice(0, -1).slice(0, MAX_NAMED_PARTS);
    return [...new Set(shared.map(part => `part:${plainName(model)}:${plainName(idOf(part))}`))];
}

function plainName(text: string): string {
    return PLAIN_NAME.test(text) ? text : shortHash(createHash("sha256").update(text));
}

function shortHash(hash: Hash): string {
    return hash.digest().subarray(0, FINGERPRINT_BYTES).toString("base64url");
}
