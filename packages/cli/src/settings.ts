/**
 * The commands on the settings tree, and the command `status`.
 *
 * @module
 */
import {
    type AuditEntry,
    type Change,
    checkTree,
    describeError,
    diffTrees,
    parseSettingsFiles,
    reverseChanges,
    type SettingsError,
    type SourceFile,
    type Tree,
} from "@drumpaddle/settings";
import { randomUUID } from "node:crypto";
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";
import { callAnyHost, callHost, type CallResult, type ClientOptions } from "./client.js";
import { type CommandResult, Exit, formatChanges, formatTable, resultOf } from "./output.js";

/** Reads the file at a path or, if it is a folder, the `.ini` files in it, sorted by name. */
export function readSettingsFiles(path: string): readonly SourceFile[] {
    if (!statSync(path).isDirectory()) return [{ name: path, text: readFileSync(path, "utf8") }];
    const names = readdirSync(path).filter(name => name.endsWith(".ini")).sort();
    return names.map(name => ({ name: join(path, name), text: readFileSync(join(path, name), "utf8") }));
}

function readAndCheck(path: string): { readonly tree: Tree; readonly errors: readonly SettingsError[] } {
    const read = parseSettingsFiles(readSettingsFiles(path));
    return { tree: read.tree, errors: [...read.errors, ...checkTree(read)] };
}

function invalidFilesResult(errors: readonly SettingsError[]): CommandResult {
    return resultOf(Exit.Failed, errors.map(describeError).join("\n"), { errors });
}

/** The command `settings check`: checks files without calling a host. */
export function check(path: string): CommandResult {
    const { tree, errors } = readAndCheck(path);
    return errors.length > 0
        ? invalidFilesResult(errors)
        : resultOf(Exit.Done, `${Object.keys(tree).length} nodes, no errors`);
}

/** Returns the result for a call that did not succeed. The exit code of a lost answer is that of an unknown outcome. */
export function failureResult(result: CallResult): CommandResult {
    if (result.kind === "unreachable") return resultOf(Exit.Failed, `no host could be reached: ${result.detail}`);
    if (result.kind === "lost") return resultOf(Exit.Unknown, `the answer was lost: ${result.detail}`);
    return resultOf(Exit.Failed, `refused (${result.status}): ${JSON.stringify(result.body)}`, result.body);
}

/** Returns the body of an answer with status 200. */
function bodyIfOk(result: CallResult): Record<string, unknown> | undefined {
    return result.kind === "answer" && result.status === 200 ? result.body : undefined;
}

interface CurrentSettings {
    readonly version: number;
    readonly tree: Tree;
    readonly ini: string;
}

async function fetchCurrent(client: ClientOptions): Promise<CurrentSettings | CommandResult> {
    const result = await callAnyHost(client, "GET", "/settings");
    return bodyIfOk(result) as unknown as CurrentSettings | undefined ?? failureResult(result);
}

/** The command `settings plan`: shows what applying files would change. */
export async function plan(client: ClientOptions, path: string): Promise<CommandResult> {
    const { tree, errors } = readAndCheck(path);
    if (errors.length > 0) return invalidFilesResult(errors);
    const inForce = await fetchCurrent(client);
    if ("exit" in inForce) return inForce;
    const changes = diffTrees(inForce.tree, tree);
    const text = changes.length === 0
        ? `no changes against version ${inForce.version}`
        : `${
            formatChanges(changes)
        }\n${changes.length} changes against version ${inForce.version}; apply with --at ${inForce.version}`;
    return resultOf(Exit.Done, text, { version: inForce.version, changes });
}

/**
 * The command `settings apply`: changes the tree to what files declare, if the version in force is still the planned
 * one.
 */
export async function apply(
    client: ClientOptions,
    path: string,
    why: string,
    planned: number | undefined,
): Promise<CommandResult> {
    const { tree, errors } = readAndCheck(path);
    if (errors.length > 0) return invalidFilesResult(errors);
    const inForce = await fetchCurrent(client);
    if ("exit" in inForce) return inForce;
    if (planned !== undefined && planned !== inForce.version) return stalePlanResult(client, planned, inForce.version);
    const changes = diffTrees(inForce.tree, tree);
    if (changes.length === 0) return resultOf(Exit.Done, `no changes against version ${inForce.version}`);
    return submitEdit(client, changes, why, inForce.version);
}

/** Returns the result of applying a stale plan, with the edits accepted since. */
async function stalePlanResult(client: ClientOptions, planned: number, version: number): Promise<CommandResult> {
    const trail = await callAnyHost(client, "GET", "/settings/log");
    const entries = (bodyIfOk(trail)?.["entries"] ?? []) as readonly AuditEntry[];
    const since = entries.filter(entry => entry.version > planned);
    const text = since.map(entry =>
        `version ${entry.version} by ${entry.who}: ${entry.why}\n${formatChanges(entry.changes)}`
    );
    return resultOf(
        Exit.Failed,
        `planned against version ${planned}, but ${version} is in force:\n${text.join("\n")}`,
        {
            kind: "conflict",
            planned,
            version,
            since,
        },
    );
}

/** Sends an edit to a host. Sending it again with the same id does not make a second edit. */
export async function submitEdit(
    client: ClientOptions,
    changes: readonly Change[],
    why: string,
    onlyAt?: number,
    editId: string = randomUUID(),
): Promise<CommandResult> {
    const body = { editId, why, changes, ...(onlyAt === undefined ? {} : { onlyAt }) };
    const result = await callAnyHost(client, "POST", "/settings/edits", body);
    if (result.kind === "lost") return unknownEditResult(editId, result.detail);
    if (result.kind !== "answer") return failureResult(result);
    const data = { ...result.body, edit: editId };
    switch (result.body["kind"]) {
        case "accepted":
            return resultOf(
                Exit.Done,
                `accepted as version ${String(result.body["version"])} (edit ${editId})`,
                data,
            );
        case "noChange":
            return resultOf(Exit.Done, `nothing to change at version ${String(result.body["version"])}`, data);
        case "conflict":
            return resultOf(
                Exit.Failed,
                `conflict at version ${String(result.body["version"])}: ${JSON.stringify(result.body["conflicts"])}`,
                data,
            );
        case "invalid":
            return resultOf(
                Exit.Failed,
                (result.body["errors"] as readonly SettingsError[]).map(describeError).join("\n"),
                data,
            );
        case "unknown":
            return unknownEditResult(editId, String(result.body["detail"]));
        default:
            return failureResult(result);
    }
}

function unknownEditResult(editId: string, detail: string): CommandResult {
    const text =
        `it is not known whether the edit was accepted: ${detail}\nask later: drumpaddle settings outcome ${editId}`;
    return resultOf(Exit.Unknown, text, { kind: "unknown", edit: editId, detail });
}

/** The commands `settings set` and `settings unset`: set a key of a node, or unset it if `after` is undefined. */
export async function setKey(
    client: ClientOptions,
    path: string,
    key: string,
    after: string | undefined,
    why: string,
): Promise<CommandResult> {
    const inForce = await fetchCurrent(client);
    if ("exit" in inForce) return inForce;
    return submitEdit(client, [{ path, key, before: inForce.tree[path]?.[key], after }], why);
}

/** The command `settings get`: prints the value of a key as it is set at one node. */
export async function getKey(client: ClientOptions, path: string, key: string): Promise<CommandResult> {
    const inForce = await fetchCurrent(client);
    if ("exit" in inForce) return inForce;
    const value = inForce.tree[path]?.[key];
    return value === undefined
        ? resultOf(Exit.Failed, `[${path}] does not set ${key}`)
        : resultOf(Exit.Done, value, { path, key, value });
}

/** The command `settings explain`: shows the values in force for a scope, and the nodes that set them. */
export async function explainKey(
    client: ClientOptions,
    key: string | undefined,
    scope: Readonly<Record<string, string | undefined>>,
): Promise<CommandResult> {
    const query = Object.entries({ key, ...scope }).filter(([, value]) => value !== undefined) as [string, string][];
    const result = await callAnyHost(client, "GET", `/settings/explain?${new URLSearchParams(query).toString()}`);
    const body = bodyIfOk(result);
    if (!body) return failureResult(result);
    const values = body["values"] as readonly {
        key: string;
        value: string;
        from: string;
        overridden: readonly { path: string; value: string }[];
    }[];
    const rows = values.map((
        { key: name, value, from, overridden },
    ) => [name, value, from, overridden.map(o => `${o.path}: ${o.value}`).join(", ")]);
    return resultOf(Exit.Done, formatTable(["key", "value", "from", "instead of"], rows), body);
}

async function fetchAuditTrail(client: ClientOptions): Promise<readonly AuditEntry[] | CommandResult> {
    const result = await callAnyHost(client, "GET", "/settings/log");
    const body = bodyIfOk(result);
    return body ? body["entries"] as readonly AuditEntry[] : failureResult(result);
}

/** The command `settings log`: shows the audit trail. */
export async function log(client: ClientOptions): Promise<CommandResult> {
    const trail = await fetchAuditTrail(client);
    if ("exit" in trail) return trail;
    const rows = trail.map((
        { version, at, who, why, changes, editId },
    ) => [String(version), new Date(at).toISOString(), who, why, String(changes.length), editId]);
    return resultOf(Exit.Done, formatTable(["version", "at", "who", "why", "changes", "edit"], rows), trail);
}

/** The command `settings show`: prints the tree of a version. */
export async function show(client: ClientOptions, version: number): Promise<CommandResult> {
    const result = await callAnyHost(client, "GET", `/settings/version/${version}`);
    const body = bodyIfOk(result);
    return body ? resultOf(Exit.Done, String(body["ini"]), body) : failureResult(result);
}

/** The command `settings revert`: undoes an edit by a new one. */
export async function revert(client: ClientOptions, version: number, why: string): Promise<CommandResult> {
    const trail = await fetchAuditTrail(client);
    if ("exit" in trail) return trail;
    const entry = trail.find(other => other.version === version);
    if (!entry) return resultOf(Exit.Failed, `there is no version ${version}`);
    return submitEdit(client, reverseChanges(entry.changes), why);
}

/** The command `settings outcome`: shows whether an edit was accepted whose answer was lost. */
export async function outcome(client: ClientOptions, editId: string): Promise<CommandResult> {
    const result = await callAnyHost(client, "GET", `/settings/outcome/${encodeURIComponent(editId)}`);
    const body = bodyIfOk(result);
    if (!body) return { ...failureResult(result), exit: Exit.Unknown };
    if (body["kind"] === "accepted") return resultOf(Exit.Done, `accepted as version ${String(body["version"])}`, body);
    return resultOf(Exit.Failed, "not accepted", body);
}

/**
 * The command `settings verify`: checks that the audit trail is complete, so that replaying it gives the tree in force.
 */
export async function verify(client: ClientOptions): Promise<CommandResult> {
    const result = await callAnyHost(client, "GET", "/settings/verify");
    const body = bodyIfOk(result);
    if (!body) return failureResult(result);
    const text = `${String(body["versions"])} versions, ${body["complete"] === true ? "complete" : "NOT complete"}`;
    return resultOf(body["complete"] === true ? Exit.Done : Exit.Failed, text, body);
}

interface HostStatus {
    readonly host: string;
    readonly hall: string;
    /** The host's capacity, in cores; absent if the host does not report it. */
    readonly capacity?: number;
    readonly version: number;
    readonly since?: number;
    readonly open: number;
    readonly waiting: number;
    readonly stopping: boolean;
}

async function fetchStatuses(
    client: ClientOptions,
): Promise<readonly { readonly url: string; readonly status: HostStatus | undefined }[]> {
    return Promise.all(client.hosts.map(async url => {
        const result = await callHost(client, url, "GET", "/status");
        return { url, status: bodyIfOk(result) as unknown as HostStatus | undefined };
    }));
}

/**
 * The command `status`: shows the version and load of each given host, and which hosts are behind the newest version.
 */
export async function status(client: ClientOptions): Promise<CommandResult> {
    const all = await fetchStatuses(client);
    const newest = Math.max(0, ...all.map(({ status: s }) => s?.version ?? 0));
    const rows = all.map(({ url, status: s }) => {
        if (!s) return [url, "", "", "", "", "", "", "no answer"];
        const since = s.since === undefined ? "" : new Date(s.since).toISOString();
        const note = s.stopping ? "stopping" : s.version < newest ? "behind" : "";
        const capacity = s.capacity === undefined ? "not told" : String(s.capacity);
        return [s.host, s.hall, capacity, String(s.version), since, String(s.open), String(s.waiting), note];
    });
    const exit = all.every(({ status: s }) => s?.version === newest) ? Exit.Done : Exit.Failed;
    return resultOf(
        exit,
        formatTable(["host", "hall", "capacity", "version", "since", "open", "waiting", "note"], rows),
        all.map(({ url, status: s }) => ({ url, ...s })),
    );
}

const WAIT_POLL_MS = 100;

/** The command `settings wait`: waits until all given hosts have this version or a newer one in force. */
export async function wait(
    client: ClientOptions,
    version: number,
    timeoutMs: number,
    onProgress: (reached: number, total: number) => void,
): Promise<CommandResult> {
    const deadlineMs = Date.now() + timeoutMs;
    for (;;) {
        const all = await fetchStatuses(client);
        const ready = all.filter(({ status: s }) => (s?.version ?? 0) >= version).length;
        onProgress(ready, all.length);
        if (ready === all.length) return resultOf(Exit.Done, `version ${version} is in force at ${ready} hosts`);
        if (Date.now() > deadlineMs) {
            return resultOf(Exit.Failed, `version ${version} is in force at ${ready} of ${all.length} hosts`);
        }
        await new Promise(resolve => setTimeout(resolve, WAIT_POLL_MS));
    }
}
