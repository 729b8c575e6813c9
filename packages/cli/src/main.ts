#!/usr/bin/env node
/**
 * The binary `drumpaddle`, for operators.
 *
 * @module
 */
import { SingleBar } from "cli-progress";
import sade from "sade";
import type { ClientCfg } from "./client.js";
import { listEndpoints } from "./endpoints.js";
import { explain } from "./explain.js";
import { expireKey, issueKey, issueToken, listKeys } from "./keys.js";
import { losses, MOMENT_S } from "./losses.js";
import { Exit, type Outcome } from "./output.js";
import { liftQuarantine, listQuarantine } from "./quarantine.js";
import * as settings from "./settings.js";

interface Flags {
    readonly hosts?: string;
    readonly token?: string;
    readonly timeout?: number;
    readonly json?: boolean;
    readonly step?: number | string;
    readonly why?: string;
    readonly at?: number | string;
    readonly workspace?: string;
    readonly service?: string;
    readonly hall?: string;
    readonly role?: string;
    /** Arguments beyond those that the command names. */
    readonly _?: readonly string[];
}

const DEFAULT_HOST = "http://127.0.0.1:9080";
const DEFAULT_TIMEOUT_MS = 20_000;

function clientOf(flags: Flags): ClientCfg {
    const hosts = (flags.hosts ?? process.env["DRUMPADDLE_OPERATORS"] ?? DEFAULT_HOST).split(",").map(host =>
        host.trim()
    );
    return {
        hosts,
        token: flags.token ?? process.env["DRUMPADDLE_TOKEN"] ?? "",
        timeoutMs: Number(flags.timeout ?? DEFAULT_TIMEOUT_MS),
    };
}

function filesOf(flags: Flags): readonly string[] {
    return (flags._ ?? []).map(String);
}

function whyOf(flags: Flags): string {
    return flags.why ?? "";
}

/** Whether the arguments were understood, so that a command was begun. */
let begun = false;

/** Prints what a command came to; every way out sets the exit code. */
async function finish(flags: Flags, run: () => Promise<Outcome> | Outcome): Promise<void> {
    begun = true;
    try {
        const { exit, text, data } = await run();
        const shown = flags.json ? JSON.stringify(data) : text;
        (exit === Exit.Done || flags.json ? process.stdout : process.stderr).write(`${shown}\n`);
        process.exitCode = exit;
    }
    catch (err) {
        process.stderr.write(`${(err as Error).message}\n`);
        process.exitCode = Exit.Usage;
    }
}

function version(text: string): number {
    const value = Number(text);
    if (!Number.isInteger(value) || value < 1) {
        throw new Error(`found ${JSON.stringify(text)}, allowed: a version, a whole number from 1`);
    }
    return value;
}

async function waitWithBar(flags: Flags, text: string): Promise<Outcome> {
    const bar = new SingleBar({ format: "in force at {value} of {total} hosts", stream: process.stderr });
    const client = clientOf(flags);
    bar.start(client.hosts.length, 0);
    try {
        return await settings.wait(client, version(text), client.timeoutMs, have => bar.update(have));
    }
    finally {
        bar.stop();
    }
}

const program = sade("drumpaddle")
    .version("0.1.0")
    .describe(
        "Operates drumpaddle: settings, keys, status. Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown.",
    )
    .option("--hosts", "Operators' ports, comma-separated (DRUMPADDLE_OPERATORS)", undefined)
    .option("--token", "Operator's token (DRUMPADDLE_TOKEN)", undefined)
    .option("--timeout", "Milliseconds for a call", DEFAULT_TIMEOUT_MS)
    .option("--json", "Print JSON");

program.command("settings check <path>", "Check a file or folder of settings without asking a host")
    .example("settings check ./deployment")
    .action((path: string, flags: Flags) => finish(flags, () => settings.check(path)));
program.command("settings plan <path>", "Show what applying files would change")
    .example("settings plan ./deployment")
    .action((path: string, flags: Flags) => finish(flags, () => settings.plan(clientOf(flags), path)));
program.command("settings apply <path>", "Make the tree what files say")
    .option("--at", "Only if this version is still in force").option("--why", "Reason, for the audit trail")
    .example('settings apply ./deployment --at 7 --why "more dawn streams"')
    .action((path: string, flags: Flags) =>
        finish(
            flags,
            () =>
                settings.apply(
                    clientOf(flags),
                    path,
                    whyOf(flags),
                    flags.at === undefined ? undefined : version(String(flags.at)),
                ),
        )
    );
program.command("settings get <node> <key>", "Print the written value of one key")
    .example("settings get workspace/clerks attempts")
    .action((node: string, key: string, flags: Flags) =>
        finish(flags, () => settings.getKey(clientOf(flags), node, key))
    );
program.command("settings set <node> <key> <value>", "Set one key").option("--why", "Reason, for the audit trail")
    .example('settings set workspace/clerks open-streams 40 --why "end of month"')
    .action((node: string, key: string, value: string | number, flags: Flags) =>
        finish(flags, () => settings.setKey(clientOf(flags), node, key, String(value), whyOf(flags)))
    );
program.command("settings unset <node> <key>", "Unset one key").option("--why", "Reason, for the audit trail")
    .example("settings unset workspace/clerks open-streams")
    .action((node: string, key: string, flags: Flags) =>
        finish(flags, () => settings.setKey(clientOf(flags), node, key, undefined, whyOf(flags)))
    );
program.command("settings explain [key]", "Show the value in force at a place and the node that it came from")
    .option("--workspace", "Workspace of the place").option("--service", "Service of the place").option(
        "--hall",
        "Hall of the place",
    )
    .example("settings explain attempts --workspace clerks --hall k1")
    .action((key: string | undefined, flags: Flags) => {
        const { workspace, service, hall } = flags;
        return finish(flags, () => settings.explainKey(clientOf(flags), key, { workspace, service, hall }));
    });
program.command("settings log", "Show the audit trail").example("settings log --json")
    .action((flags: Flags) => finish(flags, () => settings.log(clientOf(flags))));
program.command("settings show <version>", "Print the tree of a version").example("settings show 7")
    .action((text: string, flags: Flags) => finish(flags, () => settings.show(clientOf(flags), version(text))));
program.command("settings revert <version>", "Undo one edit by a new one").option(
    "--why",
    "Reason, for the audit trail",
)
    .example('settings revert 7 --why "too many refusals"')
    .action((text: string, flags: Flags) =>
        finish(flags, () => settings.revert(clientOf(flags), version(text), whyOf(flags)))
    );
program.command("settings outcome <edit>", "Say whether an edit stands whose answer was lost")
    .example("settings outcome 0b52ab3c-7a9f-4f8e-9c58-3d2f6a1f0e11")
    .action((edit: string, flags: Flags) => finish(flags, () => settings.outcome(clientOf(flags), edit)));
program.command("settings verify", "Check that the audit trail yields the tree in force").example("settings verify")
    .action((flags: Flags) => finish(flags, () => settings.verify(clientOf(flags))));
program.command("settings wait <version>", "Wait until every named host has a version in force")
    .example("settings wait 8 --hosts http://10.0.0.1:9080,http://10.0.0.2:9080")
    .action((text: string, flags: Flags) => finish(flags, () => waitWithBar(flags, text)));
program.command("status", "Show which host has which version, its load, and who is behind").example("status --json")
    .action((flags: Flags) => finish(flags, () => settings.status(clientOf(flags))));
program.command("explain <request>", "Tell a request's story from daemons' log files, named after it")
    .example("explain 9c41d07be2a35f68 host-a.log host-b.log")
    .action((request: string | number, flags: Flags) => finish(flags, () => explain(String(request), filesOf(flags))));
program.command(
    "losses",
    "Count the calls in daemons' log files that were not served in time, by route, hall, moment and reason",
)
    .option("--step", "Length of a moment, in seconds", MOMENT_S)
    .example("losses host-a.log host-b.log --step 2")
    .action((flags: Flags) => finish(flags, () => losses(filesOf(flags), Number(flags.step))));
program.command("endpoints", "List the endpoints that a host knows, evacuated halls and cold ones among them")
    .example("endpoints --hosts http://10.0.0.1:8749")
    .action((flags: Flags) => finish(flags, () => listEndpoints(clientOf(flags))));
program.command("quarantine list", "List the requests that ended endpoints, by what a host knows")
    .example("quarantine list --hosts http://10.0.0.1:8749")
    .action((flags: Flags) => finish(flags, () => listQuarantine(clientOf(flags))));
program.command("quarantine lift <fingerprint>", "Let a request be begun again, at all hosts")
    .example("quarantine lift zfrk1UZixpr7_INCf_ZeUA")
    .action((fingerprint: string, flags: Flags) =>
        finish(flags, () => liftQuarantine(clientOf(flags), String(fingerprint)))
    );
program.command("keys issue <workspace>", "Issue a key for a workspace; its secret is shown once").option(
    "--why",
    "Reason, for the audit trail",
)
    .example("keys issue clerks --why rotation")
    .action((workspace: string, flags: Flags) =>
        finish(flags, () => issueKey(clientOf(flags), workspace, whyOf(flags)))
    );
program.command("keys token <name>", "Issue an operator's token; its secret is shown once")
    .option("--role", "read or edit", "read").option("--why", "Reason, for the audit trail")
    .example("keys token keza --role edit")
    .action((name: string, flags: Flags) =>
        finish(flags, () => issueToken(clientOf(flags), name, flags.role ?? "read", whyOf(flags)))
    );
program.command("keys list", "List keys and tokens").example("keys list")
    .action((flags: Flags) => finish(flags, () => listKeys(clientOf(flags))));
program.command("keys expire <node>", "Let a key or token end").option("--at", "When, as a UTC time; now if not given")
    .option("--why", "Reason, for the audit trail")
    .example("keys expire key/clerks-1a2b3c4d --at 2026-12-31T00:00:00Z")
    .action((node: string, flags: Flags) =>
        finish(
            flags,
            () =>
                expireKey(
                    clientOf(flags),
                    node,
                    flags.at === undefined ? new Date() : new Date(flags.at),
                    whyOf(flags),
                ),
        )
    );

// The argument library ends with 1 on arguments that it does not understand; that is wrong usage here.
process.once("exit", code => {
    if (code === Exit.Failed && !begun) process.exitCode = Exit.Usage;
});
program.parse(process.argv, { unknown: flag => `unknown flag ${flag}` });
