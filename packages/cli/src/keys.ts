/**
 * The commands on workspaces' keys and operators' tokens: issue, list, expire. The settings store only the hash of a
 * secret, which is therefore shown once, when it is issued.
 *
 * @module
 */
import { type Change, NodeKind, type Tree } from "@drumpaddle/settings";
import { createHash, randomBytes } from "node:crypto";
import { callAnyHost, type ClientOptions } from "./client.js";
import { type CommandResult, Exit, formatTable, resultOf } from "./output.js";
import { failureResult, submitEdit } from "./settings.js";

const SECRET_BYTES = 24;
const ID_BYTES = 4;

/** Creates a secret, with its hash as stored in the settings. */
function newSecret(prefix: string): { readonly secret: string; readonly hash: string } {
    const secret = `${prefix}-${randomBytes(SECRET_BYTES).toString("base64url")}`;
    return { secret, hash: createHash("sha256").update(secret).digest("hex") };
}

/** Returns the changes that add a node with these values. */
function addNode(path: string, values: Readonly<Record<string, string>>): readonly Change[] {
    return [{ path, key: "", after: "" }, ...Object.entries(values).map(([key, after]) => ({ path, key, after }))];
}

/** Issues a key for a workspace. Its older keys stay valid until they expire. */
export async function issueKey(client: ClientOptions, workspace: string, why: string): Promise<CommandResult> {
    const { secret, hash } = newSecret("dp");
    const id = `${workspace}-${randomBytes(ID_BYTES).toString("hex")}`;
    return secretResult(await submitEdit(client, addNode(`key/${id}`, { workspace, hash }), why), id, secret);
}

/** Issues an operator's token. */
export async function issueToken(
    client: ClientOptions,
    name: string,
    role: string,
    why: string,
): Promise<CommandResult> {
    const { secret, hash } = newSecret("op");
    return secretResult(await submitEdit(client, addNode(`operator/${name}`, { role, hash }), why), name, secret);
}

/** Adds the secret to the result of an edit, unless the edit was not accepted. */
function secretResult(editResult: CommandResult, id: string, secret: string): CommandResult {
    if (editResult.exit !== Exit.Done) return editResult;
    return resultOf(Exit.Done, `${id}\n${secret}\nkeep this secret: it is not shown again`, { id, secret });
}

async function fetchTree(client: ClientOptions): Promise<Tree | CommandResult> {
    const result = await callAnyHost(client, "GET", "/settings");
    return result.kind === "answer" && result.status === 200 ? result.body["tree"] as Tree : failureResult(result);
}

function isCommandResult(value: Tree | CommandResult): value is CommandResult {
    return typeof (value as CommandResult).exit === "number";
}

/** Lists keys and tokens, with the first digits of their hashes. */
export async function listKeys(client: ClientOptions): Promise<CommandResult> {
    const tree = await fetchTree(client);
    if (isCommandResult(tree)) return tree;
    const paths = Object.keys(tree).filter(path =>
        path.startsWith(`${NodeKind.Key}/`) || path.startsWith(`${NodeKind.Operator}/`)
    );
    const rows = paths.sort().map(path => {
        const node = tree[path]!;
        return [
            path,
            node["workspace"] ?? node["role"] ?? "",
            node["expires"] ?? "never",
            (node["hash"] ?? "").slice(0, 8),
        ];
    });
    return resultOf(Exit.Done, formatTable(["node", "for", "expires", "hash starts"], rows), rows);
}

/** Sets the time at which a key or token expires. */
export async function expireKey(client: ClientOptions, path: string, at: Date, why: string): Promise<CommandResult> {
    const tree = await fetchTree(client);
    if (isCommandResult(tree)) return tree;
    if (!tree[path]) return resultOf(Exit.Failed, `node [${path}] does not exist`);
    const after = `${at.toISOString().slice(0, 19)}Z`;
    return submitEdit(client, [{ path, key: "expires", before: tree[path]["expires"], after }], why);
}
