/**
 * The commands on the tree of settings.
 *
 * @module
 */
import {
    type AuditEntry,
    type Change,
    checkTree,
    describeError,
    diff,
    readFiles,
    reverse,
    type SettingsError,
    type SourceFile,
    type Tree,
} from "@drumpaddle/settings";
import { randomUUID } from "node:crypto";
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import { call, callHost, type CallResult, type ClientCfg } from "./client.js";
import { Exit, type Outcome, said, showChanges, tableOf } from "./output.js";

/** Files of a path: itself, or all `.ini` files of a folder in order of name. */
export function filesOf(path: string): readonly SourceFile[] {
    if (!statSync(path).isDirectory()) return [{ name: path, text: readFileSync(path, "utf8") }];
    const names = readdirSync(path).filter(name => name.endsWith(".ini")).sort();
    return names.map(name => ({ name: join(path, name), text: readFileSync(join(path, name), "utf8") }));
}

function readChecked(path: string): { readonly tree: Tree; readonly errors: readonly SettingsError[] } {
    const read = readFiles(filesOf(path));
    return { tree: read.tree, errors: [...read.errors, ...checkTree(read)] };
}

function badFiles(errors: readonly SettingsError[]): Outcome {
    return said(Exit.Failed, errors.map(describeError).join("\n"), { errors });
}

/** Checks files without asking any host. */
export function check(path: string): Outcome {
    const { tree, errors } = readChecked(path);
    return errors.length > 0 ? badFiles(errors) : said(Exit.Done, `${Object.keys(tree).length} nodes, no errors`);
}

/** The outcome of a call that gave no good answer. */
export function failed(result: CallResult): Outcome {
    if (result.kind === "unreachable") return said(Exit.Failed, `no host could be reached: ${result.detail}`);
    if (result.kind === "lost") return said(Exit.Unknown, `the answer was lost: ${result.detail}`);
    return said(Exit.Failed, `refused (${result.status}): ${JSON.stringify(result.body)}`, result.body);
}

function good(result: CallResult): Record<string, unknown> | undefined {
    return result.kind === "answer" && result.status === 200 ? result.body : undefined;
}

interface Current {
    readonly version: number;
    readonly tree: Tree;
    readonly ini: string;
}

async function current(cfg: ClientCfg): Promise<Current | Outcome> {
    const result = await call(cfg, "GET", "/settings");
    return good(result) as unknown as Current | undefined ?? failed(result);
}

/** What applying files would change. */
export async function plan(cfg: ClientCfg, path: string): Promise<Outcome> {
    const { tree, errors } = readChecked(path);
    if (errors.length > 0) return badFiles(errors);
    const now = await current(cfg);
    if ("exit" in now) return now;
    const changes = diff(now.tree, tree);
    const text = changes.length === 0
        ? `no changes against version ${now.version}`
        : `${
            showChanges(changes)
        }\n${changes.length} changes against version ${now.version}; apply with --at ${now.version}`;
    return said(Exit.Done, text, { version: now.version, changes });
}

/** Makes the tree what files say, if it still is the version that was planned against. */
export async function apply(cfg: ClientCfg, path: string, why: string, at: number | undefined): Promise<Outcome> {
    const { tree, errors } = readChecked(path);
    if (errors.length > 0) return badFiles(errors);
    const now = await current(cfg);
    if ("exit" in now) return now;
    if (at !== undefined && at !== now.version) return conflictSince(cfg, at, now.version);
    const changes = diff(now.tree, tree);
    if (changes.length === 0) return said(Exit.Done, `no changes against version ${now.version}`);
    return edit(cfg, changes, why, now.version);
}

async function conflictSince(cfg: ClientCfg, planned: number, version: number): Promise<Outcome> {
    const trail = await call(cfg, "GET", "/settings/log");
    const entries = (good(trail)?.["entries"] ?? []) as readonly AuditEntry[];
    const since = entries.filter(entry => entry.version > planned);
    const text = since.map(entry =>
        `version ${entry.version} by ${entry.who}: ${entry.why}\n${showChanges(entry.changes)}`
    );
    return said(Exit.Failed, `planned against version ${planned}, but ${version} is in force:\n${text.join("\n")}`, {
        kind: "conflict",
        planned,
        version,
        since,
    });
}

/** Sends an edit; the same id again is the same edit. */
export async function edit(
    cfg: ClientCfg,
    changes: readonly Change[],
    why: string,
    onlyAt?: number,
    editId: string = randomUUID(),
): Promise<Outcome> {
    const body = { editId, why, changes, ...(onlyAt === undefined ? {} : { onlyAt }) };
    const result = await call(cfg, "POST", "/settings/edits", body);
    if (result.kind === "lost") return unknownEdit(editId, result.detail);
    if (result.kind !== "answer") return failed(result);
    const data = { ...result.body, edit: editId };
    switch (result.body["kind"]) {
        case "accepted":
            return said(Exit.Done, `accepted as version ${String(result.body["version"])} (edit ${editId})`, data);
        case "noChange":
            return said(Exit.Done, `nothing to change at version ${String(result.body["version"])}`, data);
        case "conflict":
            return said(
                Exit.Failed,
                `conflict at version ${String(result.body["version"])}: ${JSON.stringify(result.body["conflicts"])}`,
                data,
            );
        case "invalid":
            return said(
                Exit.Failed,
                (result.body["errors"] as readonly SettingsError[]).map(describeError).join("\n"),
                data,
            );
        case "unknown":
            return unknownEdit(editId, String(result.body["detail"]));
        default:
            return failed(result);
    }
}

function unknownEdit(editId: string, detail: string): Outcome {
    const text = `it is not known whether the edit stands: ${detail}\nask later: drumpaddle settings outcome ${editId}`;
    return said(Exit.Unknown, text, { kind: "unknown", edit: editId, detail });
}

/** Sets or unsets one key. */
export async function setKey(
    cfg: ClientCfg,
    path: string,
    key: string,
    after: string | undefined,
    why: string,
): Promise<Outcome> {
    const now = await current(cfg);
    if ("exit" in now) return now;
    return edit(cfg, [{ path, key, before: now.tree[path]?.[key], after }], why);
}

/** The written value of one key of one node. */
export async function getKey(cfg: ClientCfg, path: string, key: string): Promise<Outcome> {
    const now = await current(cfg);
    if ("exit" in now) return now;
    const value = now.tree[path]?.[key];
    return value === undefined
        ? said(Exit.Failed, `[${path}] does not set ${key}`)
        : said(Exit.Done, value, { path, key, value });
}

/** The value in force at a place, and the node that it came from. */
export async function explainKey(
    cfg: ClientCfg,
    key: string | undefined,
    place: Readonly<Record<string, string | undefined>>,
): Promise<Outcome> {
    const query = Object.entries({ key, ...place }).filter(([, value]) => value !== undefined) as [string, string][];
    const result = await call(cfg, "GET", `/settings/explain?${new URLSearchParams(query).toString()}`);
    const body = good(result);
    if (!body) return failed(result);
    const values = body["values"] as readonly {
        key: string;
        value: string;
        from: string;
        overridden: readonly { path: string; value: string }[];
    }[];
    const rows = values.map((
        { key: name, value, from, overridden },
    ) => [name, value, from, overridden.map(o => `${o.path}: ${o.value}`).join(", ")]);
    return said(Exit.Done, tableOf(["key", "value", "from", "instead of"], rows), body);
}

async function trailOf(cfg: ClientCfg): Promise<readonly AuditEntry[] | Outcome> {
    const result = await call(cfg, "GET", "/settings/log");
    const body = good(result);
    return body ? body["entries"] as readonly AuditEntry[] : failed(result);
}

/** The audit trail. */
export async function log(cfg: ClientCfg): Promise<Outcome> {
    const trail = await trailOf(cfg);
    if ("exit" in trail) return trail;
    const rows = trail.map((
        { version, at, who, why, changes, editId },
    ) => [String(version), new Date(at).toISOString(), who, why, String(changes.length), editId]);
    return said(Exit.Done, tableOf(["version", "at", "who", "why", "changes", "edit"], rows), trail);
}

/** The tree of a version. */
export async function show(cfg: ClientCfg, version: number): Promise<Outcome> {
    const result = await call(cfg, "GET", `/settings/version/${version}`);
    const body = good(result);
    return body ? said(Exit.Done, String(body["ini"]), body) : failed(result);
}

/** Undoes one edit by a new one. */
export async function revert(cfg: ClientCfg, version: number, why: string): Promise<Outcome> {
    const trail = await trailOf(cfg);
    if ("exit" in trail) return trail;
    const entry = trail.find(other => other.version === version);
    if (!entry) return said(Exit.Failed, `there is no version ${version}`);
    return edit(cfg, reverse(entry.changes), why);
}

/** Whether an edit whose answer was lost stands. */
export async function outcome(cfg: ClientCfg, editId: string): Promise<Outcome> {
    const result = await call(cfg, "GET", `/settings/outcome/${encodeURIComponent(editId)}`);
    const body = good(result);
    if (!body) return { ...failed(result), exit: Exit.Unknown };
    if (body["kind"] === "accepted") return said(Exit.Done, `accepted as version ${String(body["version"])}`, body);
    return said(Exit.Failed, "not accepted", body);
}

/** Whether the audit trail is complete: replaying it yields the tree in force. */
export async function verify(cfg: ClientCfg): Promise<Outcome> {
    const result = await call(cfg, "GET", "/settings/verify");
    const body = good(result);
    if (!body) return failed(result);
    const text = `${String(body["versions"])} versions, ${body["complete"] === true ? "complete" : "NOT complete"}`;
    return said(body["complete"] === true ? Exit.Done : Exit.Failed, text, body);
}

interface HostStatus {
    readonly host: string;
    readonly hall: string;
    /** What it can carry, in cores; absent where it does not say. */
    readonly capacity?: number;
    readonly version: number;
    readonly since?: number;
    readonly open: number;
    readonly waiting: number;
    readonly stopping: boolean;
}

async function statusOfAll(
    cfg: ClientCfg,
): Promise<readonly { readonly url: string; readonly status: HostStatus | undefined }[]> {
    return Promise.all(cfg.hosts.map(async url => {
        const result = await callHost(cfg, url, "GET", "/status");
        return { url, status: good(result) as unknown as HostStatus | undefined };
    }));
}

/** Which of the named hosts has which version, since when, and who is behind. */
export async function status(cfg: ClientCfg): Promise<Outcome> {
    const all = await statusOfAll(cfg);
    const newest = Math.max(0, ...all.map(({ status: s }) => s?.version ?? 0));
    const rows = all.map(({ url, status: s }) => {
        if (!s) return [url, "", "", "", "", "", "", "no answer"];
        const since = s.since === undefined ? "" : new Date(s.since).toISOString();
        const note = s.stopping ? "stopping" : s.version < newest ? "behind" : "";
        const capacity = s.capacity === undefined ? "not told" : String(s.capacity);
        return [s.host, s.hall, capacity, String(s.version), since, String(s.open), String(s.waiting), note];
    });
    const exit = all.every(({ status: s }) => s?.version === newest) ? Exit.Done : Exit.Failed;
    return said(
        exit,
        tableOf(["host", "hall", "capacity", "version", "since", "open", "waiting", "note"], rows),
        all.map(({ url, status: s }) => ({ url, ...s })),
    );
}

const WAIT_LOOK_MS = 100;

/** Waits until every named host has at least a version in force. */
export async function wait(
    cfg: ClientCfg,
    version: number,
    timeoutMs: number,
    onProgress: (have: number, of: number) => void,
): Promise<Outcome> {
    const until = Date.now() + timeoutMs;
    for (;;) {
        const all = await statusOfAll(cfg);
        const have = all.filter(({ status: s }) => (s?.version ?? 0) >= version).length;
        onProgress(have, all.length);
        if (have === all.length) return said(Exit.Done, `version ${version} is in force at ${have} hosts`);
        if (Date.now() > until) {
            return said(Exit.Failed, `version ${version} is in force at ${have} of ${all.length} hosts`);
        }
        await new Promise(resolve => setTimeout(resolve, WAIT_LOOK_MS));
    }
}
