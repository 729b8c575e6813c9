/**
 * An index over one version of the settings: API keys and operators' tokens by hash, models, services, endpoints, and the
 * settings that apply to a workspace and service. Built once for each version and not changed afterwards.
 *
 * @module
 */
import type { EndpointCfg } from "@drumpaddle/policy";
import { namedNodes, NodeKind, type Settings, settingsAt, type SettingsInForce, type Tree } from "@drumpaddle/settings";
import { createHash } from "node:crypto";

/** An endpoint as the settings declare it. */
export interface DeclaredEndpoint extends EndpointCfg {
    readonly url: string;
    readonly service: string;
    readonly leaving: boolean;
}

/** What an operator may do. */
export type Role = "read" | "edit";

/** Memory that an engine is assumed to have if its endpoint declares none. */
const DEFAULT_MEMORY_TOKENS = 100_000;

/** The SHA-256 of a secret in hexadecimal digits, as the settings hold it. */
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

/** The index of one part of the tree. */
interface PartIndex {
    readonly endpoints: readonly (readonly [string, DeclaredEndpoint])[];
    readonly models: readonly (readonly [string, string])[];
    readonly services: readonly (readonly [string, "engine" | "plain"])[];
    readonly halls: readonly string[];
    readonly keys: readonly (readonly [string, KeyEntry])[];
    readonly operators: readonly (readonly [string, OperatorEntry])[];
}

/** The index of one version of the settings. Parts that did not change reuse their index from the previous version. */
export class Directory {
    readonly version: number;
    readonly tree: Tree;
    readonly endpoints: ReadonlyMap<string, DeclaredEndpoint>;
    /** The service of each model. */
    readonly models: ReadonlyMap<string, string>;
    /** The kind of each service. */
    readonly services: ReadonlyMap<string, "engine" | "plain">;
    /** Names of all halls, sorted. */
    readonly halls: readonly string[];
    private readonly keys: ReadonlyMap<string, KeyEntry>;
    private readonly operators: ReadonlyMap<string, OperatorEntry>;
    private readonly parts: ReadonlyMap<Tree, PartIndex>;
    private readonly cache = new Map<string, Settings>();

    constructor(inForce: SettingsInForce, private readonly hall: string, before?: Directory) {
        this.version = inForce.snapshot.head.version;
        this.tree = inForce.tree;
        const trees = Object.values(inForce.partTrees);
        this.parts = new Map(trees.map(part => [part, before?.parts.get(part) ?? indexPart(part)]));
        const partIndexes = [...this.parts.values()];
        this.endpoints = new Map(partIndexes.flatMap(part => part.endpoints));
        this.models = new Map(partIndexes.flatMap(part => part.models));
        this.services = new Map(partIndexes.flatMap(part => part.services));
        this.halls = partIndexes.flatMap(part => part.halls).sort();
        this.keys = new Map(partIndexes.flatMap(part => part.keys));
        this.operators = new Map(partIndexes.flatMap(part => part.operators));
    }

    /** The workspace of a caller's API key; undefined if the key is unknown or has expired. */
    workspaceOf(secret: string, nowEpochMs: number): string | undefined {
        const key = this.keys.get(hashSecret(secret));
        return key && nowEpochMs < key.expires ? key.workspace : undefined;
    }

    /** The operator of a token; undefined if the token is unknown or has expired. */
    operatorOf(token: string, nowEpochMs: number): { readonly name: string; readonly role: Role } | undefined {
        const operator = this.operators.get(hashSecret(token));
        return operator && nowEpochMs < operator.expires ? operator : undefined;
    }

    get hasOperators(): boolean {
        return this.operators.size > 0;
    }

    /** The settings that apply to a workspace's requests to a service in this host's hall. */
    settingsFor(workspace: string, service: string | undefined): Settings {
        const key = `${workspace}\n${service ?? ""}`;
        let settings = this.cache.get(key);
        if (!settings) this.cache.set(key, settings = settingsAt(this.tree, { workspace, service, hall: this.hall }));
        return settings;
    }
}

function parseExpiry(value: unknown): number {
    return typeof value === "string" ? Date.parse(value) : Infinity;
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
            const entry = { workspace: values["workspace"] as string, expires: parseExpiry(values["expires"]) };
            return [values["hash"] as string, entry] as const;
        }),
        operators: namedNodes(part, NodeKind.Operator).map(({ name, values }) => {
            const entry = { name, role: values["role"] as Role, expires: parseExpiry(values["expires"]) };
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
        memoryTokens: (values["memory-tokens"] as number | undefined) ?? DEFAULT_MEMORY_TOKENS,
        leaving: values["leaving"] === true,
    }));
}
