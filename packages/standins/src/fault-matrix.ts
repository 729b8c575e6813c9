/**
 * The fault matrix: every fault at every step of a request, run against the production state machine.
 *
 * @module
 */
import { FailCode } from "@drumpaddle/request";
import { World, type WorldCfg } from "./fault-world.js";

/** Steps of a request, in order. */
export const STEPS = [
    "accepted",
    "waiting",
    "admitted",
    "connecting",
    "first byte sent",
    "before the first token",
    "mid-stream",
    "before the last token",
    "settled",
] as const;
/** One of {@link STEPS}. */
export type StepName = typeof STEPS[number];

const TOKENS = 4;

/** Brings a request to a step. `connecting` and `admitted` differ in that the dispatch has been carried out. */
const REACH: { readonly [K in StepName]: (world: World) => void } = {
    "accepted": () => undefined,
    "waiting": () => undefined,
    "admitted": world => world.admit(),
    "connecting": world => world.admit(),
    "first byte sent": world => (world.admit(), world.send()),
    "before the first token": world => (world.admit(), world.send(), world.begin(), world.open()),
    "mid-stream": world => (REACH["before the first token"](world), world.token(), world.token()),
    "before the last token": world => (REACH["mid-stream"](world), world.token()),
    "settled": world => world.finish(),
};

const BEFORE_SENT: readonly StepName[] = ["accepted", "waiting", "admitted", "connecting"];
const UNPLACED: readonly StepName[] = ["accepted", "waiting"];
const STREAMING: readonly StepName[] = ["mid-stream", "before the last token"];
const ANSWERED: readonly StepName[] = ["before the first token", ...STREAMING];

/** One fault. */
export interface FaultRow {
    readonly name: string;
    readonly apply: (world: World) => void;
    /** Steps at which it cannot occur, and why. */
    readonly impossible: { readonly steps: readonly StepName[]; readonly why: string };
    /** Outcomes that are allowed where it can occur, by how the request was made. */
    readonly allowed: (cfg: WorldCfg, step: StepName) => readonly string[];
}

const noEndpointYet = { steps: [...UNPLACED, "settled"] as readonly StepName[], why: "no endpoint is involved" };
const noAnswerYet = {
    steps: [...BEFORE_SENT, "first byte sent", "settled"] as readonly StepName[],
    why: "the engine has not answered, or is done",
};
const never = { steps: [] as readonly StepName[], why: "" };

function isStreaming(step: StepName): boolean {
    return STREAMING.includes(step);
}

/** After a fault that loses the engine: repeatable work starts again while nothing went out; else it ends honestly. */
function afterLoss(code: FailCode): FaultRow["allowed"] {
    return (cfg, step) => {
        if (BEFORE_SENT.includes(step)) return ["whole", "whole after retry"];
        const wentOut = cfg.streamed && isStreaming(step);
        if (cfg.repeatable && !wentOut) return ["whole after retry"];
        return [`${code}, ran ${isStreaming(step) ? "yes" : "unknown"}`];
    };
}

function lost(world: World): { attempt: string; generation: string; next: number } {
    const { attempt, generation, next } = world.connection!;
    return { attempt, generation: generation ?? "none", next };
}

/** All faults. After each, everything goes well again, so that what is seen is what the fault did. */
export const FAULTS: readonly FaultRow[] = [
    {
        name: "endpoint refuses",
        apply: world => {
            const { attempt } = lost(world);
            world.event({ kind: "endpointRefused", attempt, detail: "no room" });
        },
        impossible: { steps: [...BEFORE_SENT, ...ANSWERED, "settled"], why: "a refusal answers the first bytes" },
        allowed: () => ["whole after retry"],
    },
    {
        name: "endpoint cannot be reached",
        apply: world => world.lose("connect"),
        impossible: { steps: [...UNPLACED, "first byte sent", ...ANSWERED, "settled"], why: "the connection stands" },
        allowed: () => ["whole after retry"],
    },
    {
        name: "endpoint dies",
        apply: world => world.reclaim(),
        impossible: noEndpointYet,
        allowed: (cfg, step) => {
            const code = step === "first byte sent" ? FailCode.EndpointLost : FailCode.StreamIncomplete;
            return step === "admitted" || step === "connecting" ? ["whole after retry"] : afterLoss(code)(cfg, step);
        },
    },
    {
        name: "connection resets, generation lives",
        apply: world => world.lose("reset"),
        impossible: {
            steps: [...BEFORE_SENT, "first byte sent", "settled"],
            why: "no generation is known yet, or it is done",
        },
        allowed: () => ["whole"],
    },
    {
        name: "endpoint stalls",
        apply: world => world.lose(world.state.tokenSeen ? "idle" : "firstToken"),
        impossible: { steps: [...BEFORE_SENT, "settled"], why: "nothing is awaited" },
        allowed: (cfg, step) =>
            step === "first byte sent"
                ? cfg.repeatable ? ["whole after retry"] : [`${FailCode.EndpointSilent}, ran unknown`]
                : ["whole"],
    },
    {
        name: "endpoint answers nonsense",
        apply: world => world.lose("invalid"),
        impossible: { steps: [...BEFORE_SENT, "settled"], why: "nothing is awaited" },
        allowed: (cfg, step) => {
            const wentOut = cfg.streamed && isStreaming(step);
            if (cfg.repeatable && !wentOut) return ["whole after retry"];
            return [`${FailCode.EndpointInvalid}, ran ${isStreaming(step) ? "yes" : "unknown"}`];
        },
    },
    {
        name: "endpoint repeats a token",
        apply: world => {
            const { attempt, generation, next } = lost(world);
            for (let index = 0; index < next; index++) world.event({ kind: "token", attempt, generation, index });
        },
        impossible: noAnswerYet,
        allowed: () => ["whole"],
    },
    {
        name: "endpoint skips a token",
        apply: world => {
            const { attempt, generation, next } = lost(world);
            world.event({ kind: "token", attempt, generation, index: next + 1 });
        },
        impossible: {
            steps: [...noAnswerYet.steps, "before the last token"],
            why: `${noAnswerYet.why}; after the last there is none to come early`,
        },
        allowed: () => ["whole"],
    },
    {
        name: "endpoint ends early",
        apply: world => {
            const { attempt, generation } = lost(world);
            world.event({ kind: "finished", attempt, generation, total: TOKENS });
        },
        impossible: noAnswerYet,
        allowed: () => ["whole"],
    },
    {
        name: "answer of another request or attempt",
        apply: world => {
            const { generation, next } = lost(world);
            world.event({ kind: "opened", attempt: "other.1", generation: "g-other" });
            world.event({ kind: "token", attempt: "other.1", generation, index: next });
            world.event({ kind: "finished", attempt: "other.1", generation, total: next });
        },
        impossible: { steps: [...UNPLACED, "settled"], why: "no connection is open" },
        allowed: () => ["whole"],
    },
    {
        name: "endpoint lies about its generation",
        apply: world => {
            const { attempt, next } = lost(world);
            world.event({ kind: "opened", attempt, generation: "g-other" });
            world.event({ kind: "token", attempt, generation: "g-other", index: next });
        },
        impossible: noAnswerYet,
        allowed: () => ["whole"],
    },
    {
        name: "answer after the end",
        apply: world => {
            world.event({ kind: "token", attempt: "r.1", generation: "g1", index: TOKENS });
            world.event({ kind: "lost", attempt: "r.1", cause: "reset", detail: "late" });
            world.event({ kind: "endpointRefused", attempt: "r.1", detail: "late" });
        },
        impossible: { steps: [...BEFORE_SENT, "first byte sent", ...ANSWERED], why: "the request has not ended" },
        allowed: () => ["whole"],
    },
    {
        name: "caller leaves",
        apply: world => world.event({ kind: "callerGone" }),
        impossible: never,
        allowed: (_cfg, step) => step === "settled" ? ["whole"] : ["caller gone"],
    },
    {
        name: "deadline passes",
        apply: world => world.event({ kind: "deadline" }),
        impossible: never,
        allowed: (_cfg, step) => {
            if (step === "settled") return ["whole"];
            const ran = BEFORE_SENT.includes(step) ? "no" : isStreaming(step) ? "yes" : "unknown";
            return [`${FailCode.DeadlinePassed}, ran ${ran}`];
        },
    },
    {
        name: "host is told to stop",
        apply: world => world.event({ kind: "stopping" }),
        impossible: never,
        allowed: (_cfg, step) => UNPLACED.includes(step) ? [`${FailCode.Stopping}, ran no`] : ["whole"],
    },
    {
        name: "no endpoint has room",
        apply: world =>
            world.event({ kind: "notAdmitted", code: FailCode.WaitTooLong, detail: "full", retryAfterMs: 500 }),
        impossible: { steps: [...STEPS.slice(2)], why: "it has been placed" },
        allowed: () => [`${FailCode.WaitTooLong}, ran no`],
    },
    {
        name: "connection resets, then the endpoint dies",
        apply: world => (world.lose("reset"), world.reclaim()),
        impossible: {
            steps: [...BEFORE_SENT, "first byte sent", "settled"],
            why: "no generation is known yet, or it is done",
        },
        allowed: afterLoss(FailCode.StreamIncomplete),
    },
    {
        name: "endpoint dies, then the next one too",
        apply: world => {
            world.reclaim();
            for (let round = 0; round < 6 && !world.ended; round++) world.advance();
            if (!world.ended) world.reclaim();
        },
        impossible: { steps: [...BEFORE_SENT, "settled"], why: "covered by the endpoint that cannot be reached" },
        allowed: (cfg, step) => {
            const code = step === "first byte sent" ? FailCode.EndpointLost : FailCode.StreamIncomplete;
            return [...afterLoss(code)(cfg, step), `${FailCode.StreamIncomplete}, ran yes`];
        },
    },
    {
        name: "request is quarantined as it waits",
        apply: world => {
            world.isQuarantined = true;
        },
        impossible: {
            steps: ["admitted", "connecting", "first byte sent", ...ANSWERED, "settled"],
            why: "what was begun goes on",
        },
        allowed: () => [`${FailCode.Quarantined}, ran no`],
    },
    {
        name: "endpoint dies, and the request is quarantined for it",
        apply: world => {
            world.isQuarantined = true;
            world.reclaim();
        },
        impossible: noEndpointYet,
        allowed: (cfg, step) => {
            if (step === "admitted" || step === "connecting") return [`${FailCode.Quarantined}, ran no`];
            const wentOut = cfg.streamed && isStreaming(step);
            const ran = isStreaming(step) ? "yes" : "unknown";
            if (cfg.repeatable && !wentOut) return [`${FailCode.Quarantined}, ran ${ran}`];
            return afterLoss(step === "first byte sent" ? FailCode.EndpointLost : FailCode.StreamIncomplete)(cfg, step);
        },
    },
    {
        name: "endpoint dies while the host stops",
        apply: world => (world.event({ kind: "stopping" }), world.reclaim()),
        impossible: { steps: [...UNPLACED, "settled"], why: "no endpoint is involved" },
        allowed: (cfg, step) => {
            const code = step === "first byte sent" ? FailCode.EndpointLost : FailCode.StreamIncomplete;
            return step === "admitted" || step === "connecting" ? ["whole after retry"] : afterLoss(code)(cfg, step);
        },
    },
];

/** The ways to make a request that the matrix is run for. */
export const REQUESTS: readonly { readonly name: string; readonly cfg: WorldCfg }[] = [
    { name: "repeatable, streamed", cfg: { repeatable: true, streamed: true, tokens: TOKENS } },
    { name: "repeatable, whole", cfg: { repeatable: true, streamed: false, tokens: TOKENS } },
    { name: "not repeatable, streamed", cfg: { repeatable: false, streamed: true, tokens: TOKENS } },
    { name: "not repeatable, whole", cfg: { repeatable: false, streamed: false, tokens: TOKENS } },
];

/** What a cell showed. */
export interface Cell {
    readonly outcome: string;
    readonly allowed: readonly string[];
    readonly breaches: readonly string[];
}

/**
 * Runs one cell; undefined where the fault cannot occur.
 *
 * @example
 * ```ts
 * runCell(FAULTS[0]!, "first byte sent", REQUESTS[0]!.cfg)?.outcome; // "whole after retry"
 * ```
 */
export function runCell(fault: FaultRow, step: StepName, cfg: WorldCfg): Cell | undefined {
    if (fault.impossible.steps.includes(step)) return undefined;
    const world = new World(cfg);
    REACH[step](world);
    fault.apply(world);
    world.finish();
    return { outcome: world.outcome(), allowed: fault.allowed(cfg, step), breaches: world.check() };
}

/** The matrix as Markdown, one table for each way to make a request. */
export function renderMatrix(): string {
    const tables = REQUESTS.map(({ name, cfg }) => {
        const head = `| fault | ${STEPS.join(" | ")} |\n|${"---|".repeat(STEPS.length + 1)}`;
        const rows = FAULTS.map(fault => {
            const cells = STEPS.map(step => runCell(fault, step, cfg)?.outcome ?? "-");
            return `| ${fault.name} | ${cells.join(" | ")} |`;
        });
        return `## ${name}\n\n${head}\n${rows.join("\n")}\n`;
    });
    const reasons = FAULTS.filter(fault => fault.impossible.steps.length > 0)
        .map(fault => `- ${fault.name}: ${fault.impossible.why} (${fault.impossible.steps.join(", ")}).`);
    return `${tables.join("\n")}\n## Why cells are empty\n\n${reasons.join("\n")}\n`;
}
