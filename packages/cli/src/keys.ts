/**
 * Keys of workspaces and tokens of operators: issued, listed, expired. A secret is shown once and never stored.
 *
 * @module
 */
import { type Change, NodeKind, type Tree } from "@drumpaddle/settings";
import { createHash, randomBytes } from "node:crypto";
import { call, type ClientCfg } from "./client.js";
import { Exit, type Outcome, said, tableOf } from "./output.js";
import { edit, failed } from "./settings.js";

const SECRET_BYTES = 24;
const ID_BYTES = 4;

/** A new secret with its hash, as the settings keep it. */
function newSecret(start: string): { readonly secret: string; readonly hash: string } {
    const secret = `${start}-${randomBytes(SECRET_BYTES).toString("base64url")}`;
    return { secret, hash: createHash("sha256").update(secret).digest("hex") };
}

function addNode(path: string, values: Readonly<Record<string, string>>): readonly Change[] {
    return [{ path, key: "", after: "" }, ...Object.entries(values).map(([key, after]) => ({ path, key, after }))];
}

/** Issues a key; older ones of the workspace stay valid until they are expired. */
export async function issueKey(cfg: ClientCfg, workspace: string, why: string): Promise<Outcome> {
    const { secret, hash } = newSecret("dp");
    const id = `${workspace}-${randomBytes(ID_BYTES).toString("hex")}`;
    return issued(await edit(cfg, addNode(`key/${id}`, { workspace, hash }), why), id, secret);
}

/** Issues an operator's token. */
export async function issueToken(cfg: ClientCfg, name: string, role: string, why: string): Promise<Outcome> {
    const { secret, hash } = newSecret("op");
    return issued(await edit(cfg, addNode(`operator/${name}`, { role, hash }), why), name, secret);
}

function issued(done: Outcome, id: string, secret: string): Outcome {
    if (done.exit !== Exit.Done) return done;
    return said(Exit.Done, `${id}\n${secret}\nkeep it: it is not shown again`, { id, secret });
}

async function treeOf(cfg: ClientCfg): Promise<Tree | Outcome> {
    const result = await call(cfg, "GET", "/settings");
    return result.kind === "answer" && result.status === 200 ? result.body["tree"] as Tree : failed(result);
}

function isOutcome(value: Tree | Outcome): value is Outcome {
    return typeof (value as Outcome).exit === "number";
}

/** Lists keys and tokens without their secrets, which no one has. */
export async function listKeys(cfg: ClientCfg): Promise<Outcome> {
    const tree = await treeOf(cfg);
    if (isOutcome(tree)) return tree;
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
    return said(Exit.Done, tableOf(["node", "for", "expires", "hash starts"], rows), rows);
}

/** Lets a key or token end at a time; the time of now ends it at once. */
export async function expireKey(cfg: ClientCfg, path: string, at: Date, why: string): Promise<Outcome> {
    const tree = await treeOf(cfg);
    if (isOutcome(tree)) return tree;
    if (!tree[path]) return said(Exit.Failed, `there is no [${path}]`);
    const after = `${at.toISOString().slice(0, 19)}Z`;
    return edit(cfg, [{ path, key: "expires", before: tree[path]["expires"], after }], why);
}
