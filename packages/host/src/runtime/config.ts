/**
 * The daemon's own settings: INI file, then environment, then flags, checked against a table of keys.
 *
 * @module
 */
import { budgetOf } from "@drumpaddle/policy";
import { choice, count, duration, flag, list, NAME, ratio, text, type ValueType } from "@drumpaddle/settings";
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
    "host.name": { type: text(NAME, "a name"), doc: "This host's name, unique among hosts." },
    "host.hall": { type: text(NAME, "a name"), doc: "The hall that this host stands in." },
    "host.cores": {
        type: ratio(0, 1_000),
        optional: true,
        doc: "Cores of this machine, in units of the fleet's usual one. Hosts take shared work by what they can carry; one that "
            + "does not say counts as one core.",
    },
    "host.core-share": { type: ratio(0, 1), fallback: "1", doc: "Share of the cores that this process may use." },
    "host.link": { type: ratio(0, 1_000_000), optional: true, doc: "Bandwidth of this machine's link, in Mbit/s." },
    "host.descriptors": {
        type: count(0, 100_000_000),
        optional: true,
        doc: "Descriptors that this process may have; before they run out, calls are refused as not run.",
    },
    "host.memory": {
        type: ratio(0, 1_000_000),
        fallback: "0",
        doc: "Memory in MB above which the platform ends this process; what is held for slow readers is kept within a part of "
            + "it. 0 where it is not known: then nothing is decided by it.",
    },
    "callers.interface": {
        type: choice(["completions", "forward"]),
        fallback: "completions",
        doc: "What callers speak: the completions interface, or calls that are forwarded as they are.",
    },
    "callers.listen": { type: address, fallback: "127.0.0.1:8080", doc: "Where callers are served." },
    "callers.header-bytes": { type: count(1_000, 1_000_000), fallback: "16384", doc: "Largest head of a request." },
    "callers.body-timeout": {
        type: duration(10, 600_000),
        fallback: "10s",
        doc: "Time for a caller to send its request.",
    },
    "callers.still-served": {
        type: duration(0, 60_000),
        fallback: "3s",
        doc: "How long a stopping host still answers at least: a balancer that asks for readiness each second and needs "
            + "two misses sends callers until then.",
    },
    "operators.listen": { type: address, fallback: "127.0.0.1:9080", doc: "Where operators and metrics are served." },
    "operators.bootstrap-hash": {
        type: text(/^[a-f0-9]{64}$/, "a SHA-256 in 64 hexadecimal digits"),
        optional: true,
        doc: "Hash of a token that may edit while the tree names no operator.",
    },
    "metrics.listen": {
        type: address,
        optional: true,
        doc: "Where a gateway serves its metrics besides the operators' address, for collectors that want a fixed port.",
    },
    "peers.listen": { type: address, fallback: "127.0.0.1:7080", doc: "Where other hosts connect." },
    "peers.secrets": {
        type: list(/^\S{16,}$/, "secrets of at least 16 characters, the first one used, the others also accepted"),
        fallback: "",
        secret: true,
        doc: "Shared by all hosts; two while one replaces the other.",
    },
    "peers.seeds": { type: list(ADDRESS, "IP:port"), fallback: "", doc: "Hosts to ask where the host list is away." },
    "peers.scope": {
        type: text(NAME, "a name"),
        optional: true,
        doc: "Hosts of the same scope share their endpoints; the hall where it is not given.",
    },
    "platform.key-value": { type: url, doc: "The platform's key-value service." },
    "platform.host-list": { type: url, optional: true, doc: "The platform's host list." },
    "platform.prefix": {
        type: text(/^[a-z0-9/-]+$/, "lower-case letters, digits, / and -"),
        fallback: "drumpaddle",
        doc: "Start of all keys.",
    },
    "platform.timeout": { type: duration(1, 60_000), fallback: "2s", doc: "Time for one call to the platform." },
    "forward.retry-ratio": {
        type: ratio(0, 1),
        fallback: "0.2",
        doc: "Repeated sends that endpoints of a service take from all hosts together, as a share of its requests.",
    },
    "forward.retry-slack": {
        type: ratio(0, 1_000_000),
        fallback: "50",
        doc: "Repeated sends that all hosts together may make beyond that share, in each window.",
    },
    "forward.retry-window": {
        type: duration(1_000, 600_000),
        fallback: "10s",
        doc: "The window in which repeated sends are counted.",
    },
    "forward.cold-over": {
        type: ratio(0, 1_000),
        fallback: "1",
        doc: "Requests that a cold endpoint may be sent in a second by all hosts together, as a multiple of what its service "
            + "declares that it bears.",
    },
    "forward.cold-slack": {
        type: ratio(0, 1_000_000),
        fallback: "0",
        doc: "Requests that it may be sent in a second beyond that.",
    },
    "forward.regions": {
        type: list(/^[^\s:]+:[^\s:]+$/, "hall:region"),
        fallback: "",
        doc: "Regions of halls, for routes and workspaces whose calls stay in some; a hall that is not named lies in none.",
    },
    "forward.stop-grace": {
        type: duration(500, 600_000),
        fallback: "8s",
        doc: "Time from the signal to stop until the platform ends the process.",
    },
    "tls.certificate": {
        type: path,
        optional: true,
        doc: "PEM file; with the key it turns TLS on for callers and operators.",
    },
    "tls.key": { type: path, optional: true, doc: "PEM file of the private key." },
    "log.level": {
        type: choice(["debug", "info", "warn", "error"]),
        fallback: "info",
        doc: "Least level that is written.",
    },
    "log.requests": { type: flag, fallback: "true", doc: "Whether each request is logged." },
    "control.load-interval": {
        type: duration(10, 60_000),
        fallback: "500ms",
        doc: "How often an endpoint's load is asked for.",
    },
    "control.heartbeat": {
        type: duration(10, 60_000),
        fallback: "250ms",
        doc: "How often this host probes another; a dead one is passed over after about five times as long.",
    },
} as const satisfies Record<string, KeyDef<unknown>>;

/** Name of a key, as `section.key`. */
export type ConfigKey = keyof typeof KEYS;
type ValueOf<K extends ConfigKey> = typeof KEYS[K]["type"] extends ValueType<infer T> ? T : never;
type OptionalKey = { [K in ConfigKey]: typeof KEYS[K] extends { optional: true } ? K : never }[ConfigKey];

/** The daemon's settings, read and checked. */
export type HostCfg =
    & { readonly [K in Exclude<ConfigKey, OptionalKey>]: ValueOf<K> }
    & { readonly [K in OptionalKey]?: ValueOf<K> | undefined };

const BYTES_PER_MB = 1_000_000;

/** What the host may hold for slow readers, in bytes; undefined where its memory is not known. */
export function memoryBudgetBytes(cfg: Pick<HostCfg, "host.memory">): number | undefined {
    const memoryMb = cfg["host.memory"];
    return memoryMb > 0 ? budgetOf(memoryMb * BYTES_PER_MB) : undefined;
}

/** What is wrong with the daemon's settings. */
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

/** Where settings come from. `flags` are `section.key` to text; later sources go before earlier ones. */
export interface ConfigSources {
    readonly file?: { readonly name: string; readonly text: string } | undefined;
    readonly env?: Readonly<Record<string, string | undefined>>;
    readonly flags?: Readonly<Record<string, string>>;
}

/** Settings or all that is wrong with them. */
export type ConfigResult =
    | { readonly ok: true; readonly cfg: HostCfg; readonly said: ReadonlyMap<ConfigKey, GivenValue> }
    | { readonly ok: false; readonly errors: readonly ConfigError[] };

/** A value as it was written, and by which source. */
export interface GivenValue {
    readonly text: string;
    readonly source: string;
}

const ENV_PREFIX = "DRUMPADDLE_";

/** Name of the environment variable of a key: `host.name` is `DRUMPADDLE_HOST_NAME`. */
export function envName(key: ConfigKey): string {
    return ENV_PREFIX + key.replace(/[.-]/g, "_").toUpperCase();
}

/**
 * Reads the daemon's settings.
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
    return errors.length > 0 ? { ok: false, errors } : { ok: true, cfg: cfg as unknown as HostCfg, said: given };
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

/** An error in one line, for people. */
export function describeConfigError(err: ConfigError): string {
    return DESCRIPTIONS[err.kind](err as never);
}

/**
 * The settings in force as INI, secrets masked, each with its source.
 *
 * @example
 * ```ts
 * printConfig(read.said); // "[host]\nname = k1-a ; host.ini [host]\n..."
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
