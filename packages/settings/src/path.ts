/**
 * Paths of nodes, such as `workspace/payroll/service/scribe/hall/k1`, and the order in which nodes inherit from each
 * other.
 *
 * @module
 */
import { NODE_NAME, NodeKind } from "./schema.js";

/** The path of a node, as written in the header of its INI section. */
export type NodePath = string;

/** A parsed path. `kind` is its first word. */
export interface ParsedPath {
    readonly kind: NodeKind;
    readonly workspace?: string;
    readonly service?: string;
    readonly hall?: string;
    /** The name of a model, endpoint, key or operator. */
    readonly name?: string;
}

/** What settings are looked up for: a workspace, service and hall, each of which may be left open. */
export interface Scope {
    readonly workspace?: string | undefined;
    readonly service?: string | undefined;
    readonly hall?: string | undefined;
}

/** The kinds of node that can be combined in one path, in the order in which they must appear there. */
const COMBINABLE_KINDS = ["workspace", "service", "hall"] as const;

/**
 * Parses a path. Returns undefined if it is not valid: each node has exactly one spelling.
 *
 * @example
 * ```ts
 * parsePath("workspace/payroll/hall/k1"); // { kind: "workspace", workspace: "payroll", hall: "k1" }
 * ```
 */
export function parsePath(path: NodePath): ParsedPath | undefined {
    if (path === NodeKind.Root) return { kind: NodeKind.Root };
    const words = path.split("/");
    if (words.length % 2 !== 0 || words.length > 6) return undefined;
    const kind = words[0] as NodeKind;
    if (!Object.values(NodeKind).includes(kind) || kind === NodeKind.Root) return undefined;
    if (!(COMBINABLE_KINDS as readonly string[]).includes(kind)) {
        return words.length === 2 && NODE_NAME.test(words[1] ?? "") ? { kind, name: words[1]! } : undefined;
    }
    return parseCombination(words, kind);
}

function parseCombination(words: readonly string[], kind: NodeKind): ParsedPath | undefined {
    const names: Record<string, string> = {};
    let lastRank = -1;
    for (let index = 0; index < words.length; index += 2) {
        const rank = (COMBINABLE_KINDS as readonly string[]).indexOf(words[index]!);
        const name = words[index + 1]!;
        if (rank <= lastRank || !NODE_NAME.test(name)) return undefined;
        names[words[index]!] = name;
        lastRank = rank;
    }
    return { kind, ...names };
}

/**
 * Returns the paths of all nodes that apply to a scope, in order of precedence. A node that names more of workspace,
 * service and hall comes first. Among nodes that name equally many, workspace takes precedence over service, and
 * service over hall.
 *
 * @example
 * ```ts
 * applicablePaths({ workspace: "payroll", hall: "k1" }); // ["workspace/payroll/hall/k1", "workspace/payroll", "hall/k1", "root"]
 * ```
 */
export function applicablePaths(scope: Scope): readonly NodePath[] {
    const { workspace, service, hall } = scope;
    const w = workspace === undefined ? undefined : `workspace/${workspace}`;
    const s = service === undefined ? undefined : `service/${service}`;
    const h = hall === undefined ? undefined : `hall/${hall}`;
    const combinations = [[w, s, h], [w, s], [w, h], [s, h], [w], [s], [h]];
    const paths = combinations.filter(parts => parts.every(part => part !== undefined)).map(parts => parts.join("/"));
    return [...paths, NodeKind.Root];
}
