/**
 * All keys of the tree: type, default, description, and the kinds of node that may set them.
 *
 * @module
 */
import { choice, count, decimal, duration, flag, list, text, type ValueType } from "./value.js";

/** The kinds of node, as written in the first word of a path. */
export const NodeKind = {
    Root: "root",
    Hall: "hall",
    Service: "service",
    Workspace: "workspace",
    Model: "model",
    Endpoint: "endpoint",
    Key: "key",
    Operator: "operator",
} as const;
/** One of {@link NodeKind}. */
export type NodeKind = typeof NodeKind[keyof typeof NodeKind];

/** The pattern of a node's name: letters, digits, dots, dashes and underscores, at most 63 characters. */
export const NODE_NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const NAME_ALLOWED = "a name of letters, digits, . _ and -, at most 63 long";
const SHA256 = text(/^[a-f0-9]{64}$/, "a SHA-256 in 64 hexadecimal digits");
const METHOD_AND_PATH = /^[A-Z]+ \/[^\s,]*$/;
const DAY_MS = 86_400_000;
const MAX_TOKENS = 1_000_000_000;

/** The declaration of a key. */
export interface KeyDef<T> {
    readonly type: ValueType<T>;
    /** The value if no node sets the key; absent for keys that are not inherited. */
    readonly defaultValue?: T;
    readonly doc: string;
}

function inheritedKey<T>(
    type: ValueType<T>,
    defaultValue: NoInfer<T>,
    doc: string,
): KeyDef<T> & { readonly defaultValue: T } {
    return { type, defaultValue, doc };
}

function ownKey<T>(type: ValueType<T>, doc: string): KeyDef<T> {
    return { type, doc };
}

/** The inherited keys. The root, halls, services, workspaces and their combinations may set them. */
export const INHERITED_KEYS = {
    "requests-per-minute": inheritedKey(count(0, MAX_TOKENS), 6_000, "Requests that a workspace may start per minute."),
    "tokens-per-minute": inheritedKey(
        count(0, MAX_TOKENS),
        2_000_000,
        "Prompt and output tokens of a workspace per minute.",
    ),
    "open-streams": inheritedKey(count(0, 100_000), 500, "Requests of a workspace that may be open at once."),
    "priority": inheritedKey(
        choice(["live", "normal", "batch"]),
        "normal",
        "Which requests an overloaded engine serves first.",
    ),
    "connect-timeout": inheritedKey(duration(1, 60_000), 1_000, "Time until an endpoint has accepted the connection."),
    "first-token-timeout": inheritedKey(duration(1, DAY_MS), 30_000, "Time from dispatch to the first token."),
    "idle-timeout": inheritedKey(duration(1, DAY_MS), 15_000, "Longest time without data within a stream."),
    "caller-stall-timeout": inheritedKey(
        duration(1, DAY_MS),
        60_000,
        "How long a caller may read nothing before it counts as disconnected.",
    ),
    "request-deadline": inheritedKey(duration(1, DAY_MS), 900_000, "Time for a whole request."),
    "max-wait": inheritedKey(duration(0, DAY_MS), 20_000, "Longest wait for capacity on an engine."),
    "queue-limit": inheritedKey(count(0, 100_000), 2_000, "Requests that may wait on a host."),
    "attempts": inheritedKey(count(1, 10), 3, "How often a repeatable request may be sent to an endpoint."),
    "resumes": inheritedKey(count(0, 20), 3, "How often a stream may be resumed on its generation."),
    "retry-share": inheritedKey(decimal(0, 1), 0.1, "Retries allowed, as a share of requests."),
    "max-body": inheritedKey(count(1_000, 100_000_000), 4_000_000, "Bytes of a caller's body."),
    "max-output-tokens": inheritedKey(count(1, 10_000_000), 65_536, "Largest output a caller may ask for."),
    "admission-quantile": inheritedKey(
        decimal(0.5, 0.9999),
        0.9,
        "Probability that admitted work fits the engine's memory.",
    ),
    "gap-target": inheritedKey(duration(1, 10_000), 44, "Longest time between tokens that admission plans for."),
    "weight-tail": inheritedKey(decimal(0, 10), 1, "Weight of the tail latency between tokens."),
    "weight-stall": inheritedKey(decimal(0, 10), 1, "Weight of stall time and preemptions."),
    "weight-prefix": inheritedKey(decimal(0, 10), 0.5, "Weight of prompt prefixes that an engine has cached."),
    "repeatable": inheritedKey(
        flag,
        true,
        "Whether a request may be sent to an endpoint again before any of its answer was sent.",
    ),
    "not-repeatable": inheritedKey(
        list(METHOD_AND_PATH, "METHOD /path"),
        [],
        "Calls of a plain service that run at most once; * at the end matches a prefix.",
    ),
} as const;

/** The keys that belong to one kind of node and are not inherited. */
export const OWN_KEYS = {
    root: {},
    hall: { region: ownKey(text(NODE_NAME, NAME_ALLOWED), "Region of the hall.") },
    service: { kind: ownKey(choice(["engine", "plain"]), "Model engines, or a plain HTTP service.") },
    workspace: {},
    model: { service: ownKey(text(NODE_NAME, NAME_ALLOWED), "Service whose endpoints run the model.") },
    endpoint: {
        url: ownKey(text(/^https?:\/\/[^\s]+$/, "an http or https URL"), "URL that the endpoint listens at."),
        service: ownKey(text(NODE_NAME, NAME_ALLOWED), "Service that the endpoint belongs to."),
        hall: ownKey(text(NODE_NAME, NAME_ALLOWED), "Hall that the endpoint is in."),
        models: ownKey(list(NODE_NAME, "models"), "Models that it may run."),
        "memory-tokens": ownKey(count(1, MAX_TOKENS), "Tokens that fit the engine's memory."),
        leaving: ownKey(flag, "Whether the endpoint is drained: no new requests are sent to it."),
    },
    key: {
        workspace: ownKey(text(NODE_NAME, NAME_ALLOWED), "Workspace that the key gives access to."),
        hash: ownKey(SHA256, "SHA-256 of the secret."),
        expires: ownKey(
            text(/^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ$/, "a UTC time such as 2026-12-31T00:00:00Z"),
            "When it expires.",
        ),
    },
    operator: {
        role: ownKey(choice(["read", "edit"]), "What the token may do."),
        hash: ownKey(SHA256, "SHA-256 of the token."),
        expires: ownKey(
            text(/^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ$/, "a UTC time such as 2026-12-31T00:00:00Z"),
            "When it expires.",
        ),
    },
} as const satisfies Record<NodeKind, Record<string, KeyDef<unknown>>>;

/** The keys that a node must set, by kind of node. */
export const REQUIRED_KEYS: Record<NodeKind, readonly string[]> = {
    root: [],
    hall: [],
    service: ["kind"],
    workspace: [],
    model: ["service"],
    endpoint: ["url", "service", "hall"],
    key: ["workspace", "hash"],
    operator: ["role", "hash"],
};

/** The name of an inherited key. */
export type InheritedKey = keyof typeof INHERITED_KEYS;
/** The type of the parsed value of an inherited key. */
export type InheritedValue<K extends InheritedKey> = typeof INHERITED_KEYS[K] extends KeyDef<infer T> ? T : never;

/**
 * Returns the declaration of a key for a kind of node, or undefined if such nodes cannot set it.
 *
 * @example
 * ```ts
 * keyDef("endpoint", "url")?.doc; // "URL that the endpoint listens at."
 * ```
 */
export function keyDef(kind: NodeKind, name: string): KeyDef<unknown> | undefined {
    const keysOfKind: Record<string, KeyDef<unknown>> = OWN_KEYS[kind];
    if (Object.hasOwn(keysOfKind, name)) return keysOfKind[name];
    const mayHoldInherited = kind === "root" || kind === "hall" || kind === "service" || kind === "workspace";
    if (!mayHoldInherited || !Object.hasOwn(INHERITED_KEYS, name)) return undefined;
    return INHERITED_KEYS[name as InheritedKey];
}
