/**
 * The tree as INI: parses files into one tree, and formats a tree as text.
 *
 * @module
 */
import { parse, stringify } from "ini";
import { type NodePath, parsePath } from "./path.js";
import type { NodeKind } from "./schema.js";
import { keyDef } from "./schema.js";
import type { Tree, TreeNode } from "./tree.js";

/** A settings file. */
export interface SourceFile {
    readonly name: string;
    readonly text: string;
}

/** A position in the settings files. `line` counts from 1, and is 0 if the line is not known. */
export interface SourcePos {
    readonly file: string;
    readonly line: number;
    readonly section: string;
    readonly key: string;
}

/** An error in the settings. */
export type SettingsError =
    | { readonly kind: "badSection"; readonly pos: SourcePos; readonly allowed: string }
    | { readonly kind: "unknownKey"; readonly pos: SourcePos }
    | { readonly kind: "badValue"; readonly pos: SourcePos; readonly found: string; readonly allowed: string }
    | { readonly kind: "twice"; readonly pos: SourcePos; readonly first: SourcePos }
    | { readonly kind: "missingKey"; readonly pos: SourcePos }
    | { readonly kind: "badReference"; readonly pos: SourcePos; readonly found: string; readonly allowed: string }
    /** A node sets the value that the node `same` already gives it. */
    | { readonly kind: "deadOverride"; readonly pos: SourcePos; readonly same: NodePath }
    /** No operator would be left who may edit the settings. */
    | { readonly kind: "lockout"; readonly pos: SourcePos }
    | { readonly kind: "tooLarge"; readonly pos: SourcePos; readonly found: number; readonly allowed: number };

/** A parsed tree with its errors and the position of each value. */
export interface ParsedTree {
    readonly tree: Tree;
    readonly errors: readonly SettingsError[];
    readonly positionOf: (path: NodePath, key: string) => SourcePos;
}

const SECTION_ALLOWED = "root, hall/H, service/S, workspace/W or their combinations in the order "
    + "workspace/W/service/S/hall/H, or model/M, endpoint/E, key/K, operator/O";

/**
 * Parses settings files into one tree. All errors are collected. The tree omits values with an error.
 *
 * @example
 * ```ts
 * parseSettingsFiles([{ name: "a.ini", text: "[root]\nattempts = 2\n" }]).tree; // { root: { attempts: "2" } }
 * ```
 */
export function parseSettingsFiles(files: readonly SourceFile[]): ParsedTree {
    const tree: Record<NodePath, Record<string, string>> = {};
    const errors: SettingsError[] = [];
    const positions = new Map<string, SourcePos>();
    for (const file of files) {
        const positionInFile = indexLines(file);
        for (const [section, node] of parseSections(file.text)) {
            readSection(section, node, (key: string) => positionInFile(section, key), { tree, errors, positions });
        }
    }
    const positionOf = (path: NodePath, key: string): SourcePos =>
        positions.get(`${path}\n${key}`) ?? { file: "(tree)", line: 0, section: path, key };
    return { tree, errors, positionOf };
}

/** Accumulates the results of the sections parsed so far. `positions` has the keys `PATH\nKEY`. */
interface ParseState {
    readonly tree: Record<NodePath, Record<string, string>>;
    readonly errors: SettingsError[];
    readonly positions: Map<string, SourcePos>;
}

function readSection(path: string, values: TreeNode, positionOf: (key: string) => SourcePos, state: ParseState): void {
    const parsed = parsePath(path);
    if (!parsed) {
        state.errors.push({ kind: "badSection", pos: positionOf(""), allowed: SECTION_ALLOWED });
        return;
    }
    const node = state.tree[path] ??= {};
    for (const [key, rawValue] of Object.entries(values)) {
        const err = checkValue(parsed.kind, key, rawValue, positionOf(key), state.positions.get(`${path}\n${key}`));
        if (err) {
            state.errors.push(err);
            continue;
        }
        node[key] = rawValue;
        state.positions.set(`${path}\n${key}`, positionOf(key));
    }
}

function checkValue(
    kind: NodeKind,
    key: string,
    rawValue: string,
    pos: SourcePos,
    first: SourcePos | undefined,
): SettingsError | undefined {
    const def = keyDef(kind, key);
    if (!def) return { kind: "unknownKey", pos };
    if (first) return { kind: "twice", pos, first };
    const read = def.type.read(rawValue);
    return read.ok ? undefined : { kind: "badValue", pos, found: read.err.found, allowed: read.err.allowed };
}

/**
 * Parses the sections of a file, in order; keys before the first section are returned as a section without a name. The
 * INI library nests sections at dots. Names may contain dots, so they are escaped.
 */
function parseSections(source: string): readonly (readonly [string, TreeNode])[] {
    const escaped = source.replace(/^(\s*\[[^\]]*\])/gm, header => header.replaceAll(".", "\\."));
    const parsed = parse(escaped, { bracketedArray: false }) as Record<string, unknown>;
    const sections: (readonly [string, TreeNode])[] = [];
    const keysOutsideSections: Record<string, string> = {};
    for (const [name, value] of Object.entries(parsed)) {
        if (typeof value !== "object" || value === null) keysOutsideSections[name] = String(value);
        else {
            const node = Object.entries(value).map(([key, rawValue]) => [key, String(rawValue)] as const);
            sections.push([name, Object.fromEntries(node)]);
        }
    }
    return Object.keys(keysOutsideSections).length === 0 ? sections : [["", keysOutsideSections], ...sections];
}

/** Returns a function that looks up the line of a section's key, because the INI library does not report line numbers. */
function indexLines(file: SourceFile): (section: string, key: string) => SourcePos {
    const lines = new Map<string, number>();
    let section = "";
    for (const [index, line] of file.text.split(/\r?\n/).entries()) {
        const header = /^\s*\[([^\]]*)\]/.exec(line);
        if (header) section = header[1]!.trim();
        const key = header ? "" : /^\s*([^=;#\s]+)\s*(?:=|$)/.exec(line)?.[1];
        if (key !== undefined && !lines.has(`${section}\n${key}`)) lines.set(`${section}\n${key}`, index + 1);
    }
    return (name, key) => ({ file: file.name, line: lines.get(`${name}\n${key}`) ?? 0, section: name, key });
}

/**
 * Formats a tree as INI, with nodes and keys sorted, so that equal trees give equal texts.
 *
 * @example
 * ```ts
 * formatTree({ root: { attempts: "2" } }); // "[root]\nattempts = 2\n"
 * ```
 */
export function formatTree(tree: Tree): string {
    const sections = Object.keys(tree).sort().map(path => {
        const node = tree[path]!;
        const sorted = Object.fromEntries(Object.keys(node).sort().map(key => [key, node[key]!]));
        return `[${path}]\n${stringify(sorted, { whitespace: true })}`;
    });
    return sections.join("\n");
}

/**
 * Describes an error in one line: file, line, section, key, what was found and what is allowed.
 *
 * @example
 * ```ts
 * describeError(err); // "halls.ini:3 [root] attempts: found \"x\", allowed: a whole number from 1 to 10, k and M allowed"
 * ```
 */
export function describeError(err: SettingsError): string {
    const { file, line, section, key } = err.pos;
    const location = `${file}:${line} [${section}] ${key}`.trimEnd();
    return `${location}: ${DESCRIPTIONS[err.kind](err as never)}`;
}

const DESCRIPTIONS: { readonly [K in SettingsError["kind"]]: (err: Extract<SettingsError, { kind: K }>) => string } = {
    badSection: err => `no such kind of section, allowed: ${err.allowed}`,
    unknownKey: () => "unknown key for this section",
    badValue: err => `found ${JSON.stringify(err.found)}, allowed: ${err.allowed}`,
    twice: err => `set twice, first at ${err.first.file}:${err.first.line}`,
    missingKey: () => "this key must be given",
    badReference: err => `found ${JSON.stringify(err.found)}, allowed: ${err.allowed}`,
    deadOverride: err => `has no effect: the value is already that of ${err.same}`,
    lockout: () => "no operator with the role edit would be left",
    tooLarge: err => `found ${err.found}, allowed at most ${err.allowed}`,
};
