/**
 * What a version of the settings means for serving: keys and tokens by hash, models and services, endpoints, and the
 * settings at a place. Built once for each version and then only read.
 *
 * @module
 */
import type { EndpointCfg } from "@drumpaddle/policy";
import { type InForce, namedNodes, NodeKind, type Settings, settingsAt, type Tree } from "@drumpaddle/settings";
import { createHash } from "node:crypto";

/** An endpoint as declared. */
export interface DeclaredEndpoint extends EndpointCfg {
    readonly url: string;
    readonly service: string;
    readonly leaving: boolean;
}

/** What an operator may do. */
export type Role = "read" | "edit";

/** Memory that an engine is taken to have where its endpoint does not say. */
const ASSUMED_MEMORY_TOKENS = 100_000;

/** The SHA-256 of a secret, as it stands in the settings. */
export function hashSecret(secret: string): string {
    return createHash("sha256").update(secret).digest("hex");
}

interface KeyEntry {
    readonly workspace: string;
    readonly expires: number;
}

interface OperatorEntry {
    readonly name: string;
    readonly role: Role;
    readonly expires: number;
}

/** What one part of the tree means for serving. */
interface PartIndex {
    readonly endpoints: readonly (readonly [string, DeclaredEndpoint])[];
    readonly models: readonly (readonly [string, string])[];
    readonly services: readonly (readonly [string, "engine" | "plain"])[];
    readonly halls: readonly string[];
    readonly keys: readonly (readonly [string, KeyEntry])[];
    readonly operators: readonly (readonly [string, OperatorEntry])[];
}

/** One version of the settings, indexed for serving. Parts that did not change keep the index of the version before. */
export class Directory {
    readonly version: number;
    readonly tree: Tree;
    readonly endpoints: ReadonlyMap<string, DeclaredEndpoint>;
    /** Service of each model. */
    readonly models: ReadonlyMap<string, string>;
    /** Kind of each service. */
    readonly services: ReadonlyMap<string, "engine" | "plain">;
    /** Names of all halls, in order. */
    readonly halls: readonly string[];
    private readonly keys: ReadonlyMap<string, KeyEntry>;
    private readonly operators: ReadonlyMap<string, OperatorEntry>;
    private readonly parts: ReadonlyMap<Tree, PartIndex>;
    private readonly cached = new Map<string, Settings>();

    constructor(inForce: InForce, private readonly hall: string, before?: Directory) {
        this.version = inForce.snapshot.head.version;
        this.tree = inForce.tree;
        const trees = Object.values(inForce.partTrees);
        this.parts = new Map(trees.map(part => [part, before?.parts.get(part) ?? indexPart(part)]));
        const all = [...this.parts.values()];
        this.endpoints = new Map(all.flatMap(part => part.endpoints));
        this.models = new Map(all.flatMap(part => part.models));
        this.services = new Map(all.flatMap(part => part.services));
        this.halls = all.flatMap(part => part.halls).sort();
        this.keys = new Map(all.flatMap(part => part.keys));
        this.operators = new Map(all.flatMap(part => part.operators));
    }

    /** Workspace of a caller's key; undefined if it is unknown or has expired. */
    workspaceOf(secret: string, nowEpochMs: number): string | undefined {
        const key = this.keys.get(hashSecret(secret));
        return key && nowEpochMs < key.expires ? key.workspace : undefined;
    }

    /** The operator of a token; undefined if it is unknown or has expired. */
    operatorOf(token: string, nowEpochMs: number): { readonly name: string; readonly role: Role } | undefined {
        const operator = this.operators.get(hashSecret(token));
        return operator && nowEpochMs < operator.expires ? operator : undefined;
    }

    get hasOperators(): boolean {
        return this.operators.size > 0;
    }

    /** Settings for a workspace's requests to a service in this host's hall. */
    settingsFor(workspace: string, service: string | undefined): Settings {
        const name = `${workspace}\n${service ?? ""}`;
        let settings = this.cached.get(name);
        if (!settings) this.cached.set(name, settings = settingsAt(this.tree, { workspace, service, hall: this.hall }));
        return settings;
    }
}

function expiry(written: unknown): number {
    return typeof written === "string" ? Date.parse(written) : Infinity;
}

function indexPart(part: Tree): PartIndex {
    return {
        endpoints: readEndpoints(part).map(endpoint => [endpoint.id, endpoint] as const),
        models: namedNodes(part, NodeKind.Model).map(({ name, values }) =>
            [name, values["service"] as string] as const
        ),
        services: namedNodes(part, NodeKind.Service).filter(({ values }) => values["kind"] !== undefined)
            .map(({ name, values }) => [name, values["kind"] as "engine" | "plain"] as const),
        halls: Object.keys(part).map(path => /^hall\/([^/]+)$/.exec(path)?.[1]).filter(name => name !== undefined),
        keys: namedNodes(part, NodeKind.Key).map(({ values }) => {
            const entry = { workspace: values["workspace"] as string, expires: expiry(values["expires"]) };
            return [values["hash"] as string, entry] as const;
        }),
        operators: namedNodes(part, NodeKind.Operator).map(({ name, values }) => {
            const entry = { name, role: values["role"] as Role, expires: expiry(values["expires"]) };
            return [values["hash"] as string, entry] as const;
        }),
    };
}

function readEndpoints(tree: Tree): readonly DeclaredEndpoint[] {
    return namedNodes(tree, NodeKind.Endpoint).map(({ name, values }) => ({
        id: name,
        url: (values["url"] as string).replace(/\/$/, ""),
        service: values["service"] as string,
        hall: values["hall"] as string,
        models: (values["models"] as readonly string[] | undefined) ?? [],
        memoryTokens: (values["memory-tokens"] as number | undefined) ?? ASSUMED_MEMORY_TOKENS,
        leaving: values["leaving"] === true,
    }));
}
