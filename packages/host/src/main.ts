#!/usr/bin/env node
/**
 * The binary `drumpaddled`.
 *
 * @module
 */
// Imported first, as signals may come while the other modules are loaded.
import { handleSignals, type SignalHandlers } from "./runtime/signals.js";

import { readFileSync } from "node:fs";
import sade from "sade";
import { type ConfigResult, describeConfigError, type HostCfg, printConfig, readConfig } from "./runtime/config.js";
import { createLog, type Log } from "./runtime/log.js";

const EXIT = { done: 0, failed: 1, usage: 2 } as const;

/** Starts the daemon of each interface. Only the chosen one is loaded, as loading takes most of the time of a start. */
const STARTERS = {
    completions: async (cfg: HostCfg, log: Log) => (await import("./daemon.js")).startDaemon(cfg, log),
    forward: async (cfg: HostCfg, log: Log) => (await import("./gateway.js")).startGateway(cfg, log),
} as const satisfies Record<
    HostCfg["callers.interface"],
    (cfg: HostCfg, log: Log) => Promise<{ stop(): Promise<void> }>
>;

interface Options {
    readonly config?: string;
    readonly check?: boolean;
    readonly print?: boolean;
    readonly set?: string | string[];
}

function flagsOf(set: string | string[] | undefined): Record<string, string> {
    const pairs = set === undefined ? [] : Array.isArray(set) ? set : [set];
    return Object.fromEntries(pairs.map(pair => {
        const at = pair.indexOf("=");
        return at < 0 ? [pair, ""] : [pair.slice(0, at), pair.slice(at + 1)];
    }));
}

/** The settings, or why there are none: a line for each reason. */
type LoadResult = Extract<ConfigResult, { ok: true }> | { readonly ok: false; readonly reasons: readonly string[] };

function load(options: Options): LoadResult {
    try {
        const read = readSources(options);
        return read.ok ? read : { ok: false, reasons: read.errors.map(describeConfigError) };
    }
    catch (err) {
        // The file could not be read, or is no INI of settings at all.
        return { ok: false, reasons: [`${options.config}: ${(err as Error).message}`] };
    }
}

function readSources({ config, set }: Options): ConfigResult {
    const file = config === undefined ? undefined : { name: config, text: readFileSync(config, "utf8") };
    return readConfig({ file, env: process.env, flags: flagsOf(set) });
}

/** Reads the settings again and logs which have changed; changes take effect at the next start. */
function reload(options: Options, inForce: HostCfg, log: Log): void {
    const read = load(options);
    if (!read.ok) {
        log.warn({ errors: read.reasons }, "settings_file_ignored");
        return;
    }
    const changed = Object.entries(read.cfg)
        .filter(([key, value]) => JSON.stringify(value) !== JSON.stringify(inForce[key as keyof HostCfg]))
        .map(([key]) => key);
    log.info({ changed }, "settings_file_read");
}

async function run(options: Options): Promise<void> {
    const read = load(options);
    if (!read.ok) {
        for (const reason of read.reasons) process.stderr.write(`${reason}\n`);
        process.exitCode = EXIT.usage;
        return;
    }
    if (options.print) process.stdout.write(printConfig(read.given));
    if (options.print || options.check) return;
    const log = createLog(read.cfg["log.level"], process.stdout);
    if (read.cfg["tls.certificate"] === undefined) log.warn({}, "tls_is_off");
    const daemon = await STARTERS[read.cfg["callers.interface"]](read.cfg, log);
    handleSignals({ onReload: () => reload(options, read.cfg, log), onStop: createStopHandler(daemon, log) });
}

/**
 * Returns a handler that stops a daemon at the first signal. Only a second interrupt, which comes from a terminal, ends it at once:
 * supervisors may repeat SIGTERM, and kill what they no longer wait for.
 */
function createStopHandler(daemon: { stop(): Promise<void> }, log: Log): SignalHandlers["onStop"] {
    let isStopping = false;
    let wasInterrupted = false;
    return signal => {
        const isInterrupt = signal === "SIGINT";
        if (isInterrupt && wasInterrupted) {
            log.warn({ signal }, "ending_at_once");
            process.exit(EXIT.failed);
        }
        wasInterrupted ||= isInterrupt;
        if (isStopping) return log.info({ signal }, "already_stopping");
        isStopping = true;
        void daemon.stop().then(() => process.exit(EXIT.done));
    };
}

sade("drumpaddled", true)
    .version("0.1.0")
    .describe("The drumpaddle daemon of an entry host.")
    .option("-c, --config", "INI file of daemon settings")
    .option("--set", "One setting as section.key=value; may be given several times")
    .option("--check", "Only check the settings")
    .option("--print", "Print the settings in force, secrets masked")
    .example("--config /etc/drumpaddle/host.ini")
    .example("--config host.ini --set host.name=k1-a --check")
    .action((options: Options) => {
        run(options).catch((err: unknown) => {
            process.stderr.write(`${(err as Error).message}\n`);
            // Parts that have already started would keep the process alive although it serves nobody.
            process.exit(EXIT.failed);
        });
    })
    .parse(process.argv);
