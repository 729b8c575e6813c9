#!/usr/bin/env node
/**
 * The program `drumpaddle`, the operators' command line.
 *
 * @module
 */
import { SingleBar } from "cli-progress";
import sade from "sade";
import type { ClientOptions } from "./client.js";
import { listEndpoints } from "./endpoints.js";
import { explainRequest } from "./explain.js";
import { expireKey, issueKey, issueToken, listKeys } from "./keys.js";
import { DEFAULT_STEP_S, losses } from "./losses.js";
import { type CommandResult, Exit } from "./output.js";
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
    /** Positional arguments after those that the command declares. */
    readonly _?: readonly string[];
}

const DEFAULT_HOST = "http://127.0.0.1:9080";
const DEFAULT_TIMEOUT_MS = 20_000;

function clientOptionsOf(flags: Flags): ClientOptions {
    const hosts = (flags.hosts ?? process.env["DRUMPADDLE_OPERATORS"] ?? DEFAULT_HOST).split(",").map(host =>
        host.trim()
    );
    return {
        hosts,
        token: flags.token ?? process.env["DRUMPADDLE_TOKEN"] ?? "",
        timeoutMs: Number(flags.timeout ?? DEFAULT_TIMEOUT_MS),
    };
}

function logFilesOf(flags: Flags): readonly string[] {
    return (flags._ ?? []).map(String);
}

function editReasonOf(flags: Flags): string {
    return flags.why ?? "";
}

/** Whether the arguments were valid, so that a command was started. */
let hasCommandStarted = false;

/** Runs a command, prints its result and sets the exit code. An exception counts as wrong usage. */
async function runCommand(flags: Flags, run: () => Promise<CommandResult> | CommandResult): Promise<void> {
    hasCommandStarted = true;
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

function parseVersion(text: string): number {
    const value = Number(text);
    if (!Number.isInteger(value) || value < 1) {
        throw new Error(`found ${JSON.stringify(text)}, allowed: a version, a whole number from 1`);
    }
    return value;
}

async function waitWithProgressBar(flags: Flags, text: string): Promise<CommandResult> {
    const bar = new SingleBar({ format: "in force at {value} of {total} hosts", stream: process.stderr });
    const client = clientOptionsOf(flags);
    bar.start(client.hosts.length, 0);
    try {
        return await settings.wait(client, parseVersion(text), client.timeoutMs, reached => bar.update(reached));
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
    .action((path: string, flags: Flags) => runCommand(flags, () => settings.check(path)));
program.command("settings plan <path>", "Show what applying files would change")
    .example("settings plan ./deployment")
    .action((path: string, flags: Flags) => runCommand(flags, () => settings.plan(clientOptionsOf(flags), path)));
program.command("settings apply <path>", "Change the tree to what files declare")
    .option("--at", "Only if this version is still in force").option("--why", "Reason, for the audit trail")
    .example('settings apply ./deployment --at 7 --why "more dawn streams"')
    .action((path: string, flags: Flags) =>
        runCommand(
            flags,
            () =>
                settings.apply(
                    clientOptionsOf(flags),
                    path,
                    editReasonOf(flags),
                    flags.at === undefined ? undefined : parseVersion(String(flags.at)),
                ),
        )
    );
program.command("settings get <node> <key>", "Print the written value of one key")
    .example("settings get workspace/clerks attempts")
    .action((node: string, key: string, flags: Flags) =>
        runCommand(flags, () => settings.getKey(clientOptionsOf(flags), node, key))
    );
program.command("settings set <node> <key> <value>", "Set one key").option("--why", "Reason, for the audit trail")
    .example('settings set workspace/clerks open-streams 40 --why "end of month"')
    .action((node: string, key: string, value: string | number, flags: Flags) =>
        runCommand(flags, () => settings.setKey(clientOptionsOf(flags), node, key, String(value), editReasonOf(flags)))
    );
program.command("settings unset <node> <key>", "Unset one key").option("--why", "Reason, for the audit trail")
    .example("settings unset workspace/clerks open-streams")
    .action((node: string, key: string, flags: Flags) =>
        runCommand(flags, () => settings.setKey(clientOptionsOf(flags), node, key, undefined, editReasonOf(flags)))
    );
program.command(
    "settings explain [key]",
    "Show the value in force for a workspace, service and hall, and the node that sets it",
)
    .option("--workspace", "Workspace to look up").option("--service", "Service to look up").option(
        "--hall",
        "Hall to look up",
    )
    .example("settings explain attempts --workspace clerks --hall k1")
    .action((key: string | undefined, flags: Flags) => {
        const { workspace, service, hall } = flags;
        return runCommand(flags, () => settings.explainKey(clientOptionsOf(flags), key, { workspace, service, hall }));
    });
program.command("settings log", "Show the audit trail").example("settings log --json")
    .action((flags: Flags) => runCommand(flags, () => settings.log(clientOptionsOf(flags))));
program.command("settings show <version>", "Print the tree of a version").example("settings show 7")
    .action((text: string, flags: Flags) =>
        runCommand(flags, () => settings.show(clientOptionsOf(flags), parseVersion(text)))
    );
program.command("settings revert <version>", "Undo one edit by a new one").option(
    "--why",
    "Reason, for the audit trail",
)
    .example('settings revert 7 --why "too many refusals"')
    .action((text: string, flags: Flags) =>
        runCommand(flags, () => settings.revert(clientOptionsOf(flags), parseVersion(text), editReasonOf(flags)))
    );
program.command("settings outcome <edit>", "Show whether an edit whose answer was lost was accepted")
    .example("settings outcome 0b52ab3c-7a9f-4f8e-9c58-3d2f6a1f0e11")
    .action((edit: string, flags: Flags) => runCommand(flags, () => settings.outcome(clientOptionsOf(flags), edit)));
program.command("settings verify", "Check that replaying the audit trail gives the tree in force").example(
    "settings verify",
)
    .action((flags: Flags) => runCommand(flags, () => settings.verify(clientOptionsOf(flags))));
program.command("settings wait <version>", "Wait until every named host has a version in force")
    .example("settings wait 8 --hosts http://10.0.0.1:9080,http://10.0.0.2:9080")
    .action((text: string, flags: Flags) => runCommand(flags, () => waitWithProgressBar(flags, text)));
program.command("status", "Show each host's settings version and load, and which hosts are behind").example(
    "status --json",
)
    .action((flags: Flags) => runCommand(flags, () => settings.status(clientOptionsOf(flags))));
program.command("explain <request>", "Print the lines about a request from daemons' log files, given after it")
    .example("explain 9c41d07be2a35f68 host-a.log host-b.log")
    .action((request: string | number, flags: Flags) =>
        runCommand(flags, () => explainRequest(String(request), logFilesOf(flags)))
    );
program.command(
    "losses",
    "Count the failed and late calls in daemons' log files, by route, hall, time and reason",
)
    .option("--step", "Length of a time step, in seconds", DEFAULT_STEP_S)
    .example("losses host-a.log host-b.log --step 2")
    .action((flags: Flags) => runCommand(flags, () => losses(logFilesOf(flags), Number(flags.step))));
program.command("endpoints", "List the endpoints that a host knows, including cold ones and those in evacuated halls")
    .example("endpoints --hosts http://10.0.0.1:8749")
    .action((flags: Flags) => runCommand(flags, () => listEndpoints(clientOptionsOf(flags))));
program.command(
    "quarantine list",
    "List the requests, and the parts of prompts, that a host knows to be quarantined or suspected of ending endpoints",
)
    .example("quarantine list --hosts http://10.0.0.1:8749")
    .action((flags: Flags) => runCommand(flags, () => listQuarantine(clientOptionsOf(flags))));
program.command(
    "quarantine lift <fingerprint>",
    "Lift the quarantine of a request, or of a part of prompts, at all hosts",
)
    .example("quarantine lift zfrk1UZixpr7_INCf_ZeUA")
    .example("quarantine lift part:m:5c1e07a2")
    .action((fingerprint: string, flags: Flags) =>
        runCommand(flags, () => liftQuarantine(clientOptionsOf(flags), String(fingerprint)))
    );
program.command("keys issue <workspace>", "Issue a key for a workspace; its secret is shown once").option(
    "--why",
    "Reason, for the audit trail",
)
    .example("keys issue clerks --why rotation")
    .action((workspace: string, flags: Flags) =>
        runCommand(flags, () => issueKey(clientOptionsOf(flags), workspace, editReasonOf(flags)))
    );
program.command("keys token <name>", "Issue an operator's token; its secret is shown once")
    .option("--role", "read or edit", "read").option("--why", "Reason, for the audit trail")
    .example("keys token keza --role edit")
    .action((name: string, flags: Flags) =>
        runCommand(flags, () => issueToken(clientOptionsOf(flags), name, flags.role ?? "read", editReasonOf(flags)))
    );
program.command("keys list", "List keys and tokens").example("keys list")
    .action((flags: Flags) => runCommand(flags, () => listKeys(clientOptionsOf(flags))));
program.command("keys expire <node>", "Set when a key or token expires").option(
    "--at",
    "When, as a UTC time; now if not given",
)
    .option("--why", "Reason, for the audit trail")
    .example("keys expire key/clerks-1a2b3c4d --at 2026-12-31T00:00:00Z")
    .action((node: string, flags: Flags) =>
        runCommand(
            flags,
            () =>
                expireKey(
                    clientOptionsOf(flags),
                    node,
                    flags.at === undefined ? new Date() : new Date(flags.at),
                    editReasonOf(flags),
                ),
        )
    );

// The argument parser exits with 1 on invalid arguments. For this program, wrong usage is 2.
process.once("exit", code => {
    if (code === Exit.Failed && !hasCommandStarted) process.exitCode = Exit.Usage;
});
program.parse(process.argv, { unknown: flag => `unknown flag ${flag}` });
