/**
 * The daemon's own settings, read from an INI file, the environment and flags, and checked against a table of keys.
 *
 * @module
 */
import { budgetOf } from "@drumpaddle/policy";
import { choice, count, decimal, duration, flag, list, NODE_NAME, text, type ValueType } from "@drumpaddle/settings";
import { parse } from "ini";

const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const address = text(ADDRESS, "an IP number and a port, such as 127.0.0.1:8080");
const url = text(/^https?:\/\/[^\s]+$/, "an http or https URL");
const path = text(/^\S.*$/, "a file's path");

interface KeyDef<T> {
    readonly type: ValueType<T>;
    readonly fallback?: string;
    readonly secret?: boolean;
    readonly optional?: boolean;
    readonly doc: string;
}

const KEYS = {
    "host.name": { type: text(NODE_NAME, "a name"), doc: "The name of this host, unique among all hosts." },
    "host.hall": { type: text(NODE_NAME, "a name"), doc: "The hall that this host is in." },
    "host.cores": {
        type: decimal(0, 1_000),
        optional: true,
        doc: "Cores of this machine, in units of the fleet's usual core. Hosts share work in proportion to their capacity; one "
            + "without this setting counts as one core.",
    },
    "host.core-share": { type: decimal(0, 1), fallback: "1", doc: "Share of the cores that this process may use." },
    "host.link": { type: decimal(0, 1_000_000), optional: true, doc: "Bandwidth of this machine's link, in Mbit/s." },
    "host.descriptors": {
        type: count(0, 100_000_000),
        optional: true,
        doc: "Maximum number of file descriptors of this process; before they run out, calls are refused as not run.",
    },
    "host.memory": {
        type: decimal(0, 1_000_000),
        fallback: "0",
        doc: "Memory in MB above which the platform ends this process; data buffered for slow readers is limited to a part of "
            + "it. 0 if it is not known: then there is no such limit.",
    },
    "callers.interface": {
        type: choice(["completions", "forward"]),
        fallback: "completions",
        doc: "The interface for callers: completions, or calls that are forwarded unchanged.",
    },
    "callers.listen": { type: address, fallback: "127.0.0.1:8080", doc: "Address for callers." },
    "callers.header-bytes": {
        type: count(1_000, 1_000_000),
        fallback: "16384",
        doc: "Maximum size of a request's head, in bytes.",
    },
    "callers.body-timeout": {
        type: duration(10, 600_000),
        fallback: "10s",
        doc: "Time limit for a caller to send its request.",
    },
    "callers.pipelined-requests": {
        type: count(1, 10_000),
        fallback: "24",
        doc: "Maximum number of requests of one connection that are open at a time; further ones are refused as not run. Each "
            + "takes some 46 KB: by default one connection takes at most a hundredth of a heap of 110 MB.",
    },
    "callers.still-served": {
        type: duration(0, 60_000),
        fallback: "3s",
        doc: "Minimum time that a stopping host still answers: a load balancer that checks readiness each second and needs "
            + "two failures sends callers until then.",
    },
    "callers.linger": {
        type: duration(0, 600_000),
        fallback: "10s",
        doc: "How long the host still reads from a connection that it has ended, unless the caller ends it too. A connection that is "
            + "closed while its caller sends is reset, and what the caller has yet to read is lost.",
    },
    "operators.listen": { type: address, fallback: "127.0.0.1:9080", doc: "Address for operators and metrics." },
    "operators.bootstrap-hash": {
        type: text(/^[a-f0-9]{64}$/, "a SHA-256 in 64 hexadecimal digits"),
        optional: true,
        doc: "Hash of a token that may edit the settings while they name no operator.",
    },
    "metrics.listen": {
        type: address,
        optional: true,
        doc: "Further address for a gateway's metrics, for collectors that need a fixed port.",
    },
    "peers.listen": { type: address, fallback: "127.0.0.1:7080", doc: "Address for other hosts." },
    "peers.secrets": {
        type: list(/^\S{16,}$/, "secrets of at least 16 characters, the first one used, the others also accepted"),
        fallback: "",
        secret: true,
        doc: "Secrets shared by all hosts; two while one replaces the other.",
    },
    "peers.seeds": {
        type: list(ADDRESS, "IP:port"),
        fallback: "",
        doc: "Hosts to contact if the host list is unavailable.",
    },
    "peers.scope": {
        type: text(NODE_NAME, "a name"),
        optional: true,
        doc: "Hosts of the same scope share their endpoints; defaults to the hall.",
    },
    "platform.key-value": { type: url, doc: "URL of the platform's key-value service." },
    "platform.host-list": { type: url, optional: true, doc: "URL of the platform's host list." },
    "platform.prefix": {
        type: text(/^[a-z0-9/-]+$/, "lower-case letters, digits, / and -"),
        fallback: "drumpaddle",
        doc: "Prefix of all keys in the key-value service.",
    },
    "platform.timeout": { type: duration(1, 60_000), fallback: "2s", doc: "Time limit of one call to the platform." },
    "forward.retry-ratio": {
        type: decimal(0, 1),
        fallback: "0.2",
        doc: "Retries that all hosts together may send to the endpoints of a service, as a share of its requests.",
    },
    "forward.retry-slack": {
        type: decimal(0, 1_000_000),
        fallback: "50",
        doc: "Retries that all hosts together may send beyond that share, in each window.",
    },
    "forward.retry-window": {
        type: duration(1_000, 600_000),
        fallback: "10s",
        doc: "The window in which retries are counted.",
    },
    "forward.cold-over": {
        type: decimal(0, 1_000),
        fallback: "1",
        doc: "Requests that all hosts together may send to a cold endpoint each second, as a multiple of the rate that its "
            + "service declares for cold endpoints.",
    },
    "forward.cold-slack": {
        type: decimal(0, 1_000_000),
        fallback: "0",
        doc: "Requests that all hosts together may send to a cold endpoint each second beyond that.",
    },
    "forward.regions": {
        type: list(/^[^\s:]+:[^\s:]+$/, "hall:region"),
        fallback: "",
        doc: "Regions of halls, for routes and workspaces whose calls must stay in certain regions; other halls are in no region.",
    },
    "forward.source-address": {
        type: text(/^[0-9a-f.:]+$/i, "an IP address"),
        optional: true,
        doc: "IP address of this machine from which connections to endpoints are opened; by default the system chooses one.",
    },
    "forward.stop-grace": {
        type: duration(500, 600_000),
        fallback: "8s",
        doc: "Time from the signal to stop until the platform kills the process.",
    },
    "tls.certificate": {
        type: path,
        optional: true,
        doc: "PEM file of the certificate; together with the key it enables TLS for callers and operators.",
    },
    "tls.key": { type: path, optional: true, doc: "PEM file of the private key." },
    "log.level": {
        type: choice(["debug", "info", "warn", "error"]),
        fallback: "info",
        doc: "Minimum level of log lines that are written.",
    },
    "log.requests": { type: flag, fallback: "true", doc: "Whether each request is logged." },
    "control.load-interval": {
        type: duration(10, 60_000),
        fallback: "500ms",
        doc: "How often an endpoint is asked for its load.",
    },
    "control.heartbeat": {
        type: duration(10, 60_000),
        fallback: "250ms",
        doc: "How often this host probes another; a dead host is no longer used after about five times as long.",
    },
} as const satisfies Record<string, KeyDef<unknown>>;

/** The name of a key, as `section.key`. */
export type ConfigKey = keyof typeof KEYS;
type ValueOf<K extends ConfigKey> = typeof KEYS[K]["type"] extends ValueType<infer T> ? T : never;
type OptionalKey = { [K in ConfigKey]: typeof KEYS[K] extends { optional: true } ? K : never }[ConfigKey];

/** The checked settings of the daemon. */
export type HostCfg =
    & { readonly [K in Exclude<ConfigKey, OptionalKey>]: ValueOf<K> }
    & { readonly [K in OptionalKey]?: ValueOf<K> | undefined };

const BYTES_PER_MB = 1_000_000;

/** Bytes that the host may hold for slow readers; undefined if its memory is not known. */
export function memoryBudgetBytes(cfg: Pick<HostCfg, "host.memory">): number | undefined {
    const memoryMb = cfg["host.memory"];
    return memoryMb > 0 ? budgetOf(memoryMb * BYTES_PER_MB) : undefined;
}

/** An error in the daemon's settings. */
export type ConfigError =
    | { readonly kind: "unknownKey"; readonly source: string; readonly key: string }
    | { readonly kind: "missingKey"; readonly key: string; readonly allowed: string }
    | {
        readonly kind: "badValue";
        readonly source: string;
        readonly key: string;
        readonly found: string;
        readonly allowed: string;
    };

/** The sources of settings; `flags` override `env`, which overrides `file`. The keys of `flags` are written `section.key`. */
export interface ConfigSources {
    readonly file?: { readonly name: string; readonly text: string } | undefined;
    readonly env?: Readonly<Record<string, string | undefined>>;
    readonly flags?: Readonly<Record<string, string>>;
}

/** The settings, or all errors in them. */
export type ConfigResult =
    | { readonly ok: true; readonly cfg: HostCfg; readonly given: ReadonlyMap<ConfigKey, GivenValue> }
    | { readonly ok: false; readonly errors: readonly ConfigError[] };

/** A value as it was written, and its source. */
export interface GivenValue {
    readonly text: string;
    readonly source: string;
}

const ENV_PREFIX = "DRUMPADDLE_";

/** The environment variable of a key, such as `DRUMPADDLE_HOST_NAME` for `host.name`. */
export function envName(key: ConfigKey): string {
    return ENV_PREFIX + key.replace(/[.-]/g, "_").toUpperCase();
}

/**
 * Reads and checks the daemon's settings.
 *
 * @example
 * ```ts
 * const read = readConfig({ file: { name: "host.ini", text }, env: process.env });
 * if (!read.ok) read.errors.map(describeConfigError);
 * ```
 */
export function readConfig(sources: ConfigSources): ConfigResult {
    const errors: ConfigError[] = [];
    const given = new Map<ConfigKey, GivenValue>();
    const setValue = (key: string, value: string, source: string): void => {
        if (Object.hasOwn(KEYS, key)) given.set(key as ConfigKey, { text: value, source });
        else errors.push({ kind: "unknownKey", source, key });
    };
    if (sources.file) readIniFile(sources.file, setValue);
    for (const key of Object.keys(KEYS) as ConfigKey[]) {
        const value = sources.env?.[envName(key)];
        if (value !== undefined) setValue(key, value, `environment ${envName(key)}`);
    }
    for (const [key, value] of Object.entries(sources.flags ?? {})) setValue(key, value, `flag --${key}`);
    const cfg = readValues(given, errors);
    return errors.length > 0 ? { ok: false, errors } : { ok: true, cfg: cfg as unknown as HostCfg, given };
}

function readIniFile(
    file: { name: string; text: string },
    setValue: (key: string, value: string, source: string) => void,
): void {
    const sections = parse(file.text, { bracketedArray: false }) as Record<string, unknown>;
    for (const [section, node] of Object.entries(sections)) {
        if (typeof node !== "object" || node === null) setValue(section, String(node), file.name);
        else {for (const [key, value] of Object.entries(node)) {
                setValue(`${section}.${key}`, String(value), `${file.name} [${section}]`);
            }}
    }
}

function readValues(given: ReadonlyMap<ConfigKey, GivenValue>, errors: ConfigError[]): Record<string, unknown> {
    const cfg: Record<string, unknown> = {};
    for (const [key, def] of Object.entries(KEYS) as [ConfigKey, KeyDef<unknown>][]) {
        const value = given.get(key)
            ?? (def.fallback === undefined ? undefined : { text: def.fallback, source: "default" });
        if (!value) {
            if (!def.optional) errors.push({ kind: "missingKey", key, allowed: def.type.allowed });
            continue;
        }
        const read = def.type.read(value.text);
        if (read.ok) cfg[key] = read.value;
        else {errors.push({
                kind: "badValue",
                source: value.source,
                key,
                found: def.secret ? "(secret)" : value.text,
                allowed: def.type.allowed,
            });}
    }
    return cfg;
}

const DESCRIPTIONS: { readonly [K in ConfigError["kind"]]: (err: Extract<ConfigError, { kind: K }>) => string } = {
    unknownKey: err => `${err.source}: ${err.key}: unknown key; known: ${Object.keys(KEYS).join(", ")}`,
    missingKey: err => `${err.key}: must be given: ${err.allowed}`,
    badValue: err => `${err.source}: ${err.key}: found ${JSON.stringify(err.found)}, allowed: ${err.allowed}`,
};

/** Describes an error in one line. */
export function describeConfigError(err: ConfigError): string {
    return DESCRIPTIONS[err.kind](err as never);
}

/**
 * The settings in force in INI form, each with its source; secrets are masked.
 *
 * @example
 * ```ts
 * printConfig(read.given); // "[host]\nname = k1-a ; host.ini [host]\n..."
 * ```
 */
export function printConfig(given: ReadonlyMap<ConfigKey, GivenValue>): string {
    const lines: string[] = [];
    let section = "";
    for (const [key, def] of Object.entries(KEYS) as [ConfigKey, KeyDef<unknown>][]) {
        const [sectionOfKey, name] = key.split(".") as [string, string];
        const value = given.get(key) ?? { text: def.fallback ?? "", source: "default" };
        if (sectionOfKey !== section) lines.push(`[${sectionOfKey}]`);
        section = sectionOfKey;
        const shown = def.secret && value.text !== "" ? "********" : value.text;
        lines.push(`; ${def.doc} (${value.source})`, `${name} = ${shown}`);
    }
    return `${lines.join("\n")}\n`;
}
