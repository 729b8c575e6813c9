/**
 * The fault matrix: applies every fault at every step of a request, and runs the production state machine to the end.
 *
 * @module
 */
import { FailCode } from "@drumpaddle/request";
import { RequestSimulation, type SimulationCfg } from "./request-simulation.js";

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

const TOKEN_COUNT = 4;

/**
 * Brings a simulated request to a step. The simulation executes the dispatch on admission, so `admitted` and
 * `connecting` are the same state here.
 */
const ADVANCE_TO: { readonly [K in StepName]: (simulation: RequestSimulation) => void } = {
    "accepted": () => undefined,
    "waiting": () => undefined,
    "admitted": simulation => simulation.admit(),
    "connecting": simulation => simulation.admit(),
    "first byte sent": simulation => (simulation.admit(), simulation.sendFirstByte()),
    "before the first token":
        simulation => (simulation.admit(),
            simulation.sendFirstByte(),
            simulation.startGeneration(),
            simulation.receiveHead()),
    "mid-stream":
        simulation => (ADVANCE_TO["before the first token"](simulation),
            simulation.receiveToken(),
            simulation.receiveToken()),
    "before the last token": simulation => (ADVANCE_TO["mid-stream"](simulation), simulation.receiveToken()),
    "settled": simulation => simulation.runToEnd(),
};

const STEPS_BEFORE_SEND: readonly StepName[] = ["accepted", "waiting", "admitted", "connecting"];
const STEPS_BEFORE_ADMISSION: readonly StepName[] = ["accepted", "waiting"];
const STREAMING_STEPS: readonly StepName[] = ["mid-stream", "before the last token"];
const STEPS_AFTER_HEAD: readonly StepName[] = ["before the first token", ...STREAMING_STEPS];

/** A fault, the steps at which it can occur and the outcomes that are correct after it. */
export interface Fault {
    readonly name: string;
    readonly apply: (simulation: RequestSimulation) => void;
    /** Steps at which the fault cannot occur, and the reason, which is printed below the matrix. */
    readonly impossible: { readonly steps: readonly StepName[]; readonly why: string };
    /** Correct outcomes at a step where the fault can occur. */
    readonly allowed: (cfg: SimulationCfg, step: StepName) => readonly string[];
}

const impossibleWithoutEndpoint = {
    steps: [...STEPS_BEFORE_ADMISSION, "settled"] as readonly StepName[],
    why: "no endpoint is involved",
};
const impossibleWithoutAnswer = {
    steps: [...STEPS_BEFORE_SEND, "first byte sent", "settled"] as readonly StepName[],
    why: "the engine has not answered, or is done",
};
const possibleAtEveryStep = { steps: [] as readonly StepName[], why: "" };

function isStreaming(step: StepName): boolean {
    return STREAMING_STEPS.includes(step);
}

/**
 * Correct outcomes after the engine is lost. A repeatable request of which no token was delivered is retried; any other
 * fails with `code`, and the error says whether it ran.
 */
function outcomesAfterEngineLoss(code: FailCode): Fault["allowed"] {
    return (cfg, step) => {
        if (STEPS_BEFORE_SEND.includes(step)) return ["whole", "whole after retry"];
        const wasDelivered = cfg.streamed && isStreaming(step);
        if (cfg.repeatable && !wasDelivered) return ["whole after retry"];
        return [`${code}, ran ${isStreaming(step) ? "yes" : "unknown"}`];
    };
}

function connectionOf(simulation: RequestSimulation): { attempt: string; generation: string; next: number } {
    const { attempt, generation, nextIndex: next } = simulation.connection!;
    return { attempt, generation: generation ?? "none", next };
}

/** All faults. No further fault follows the one applied, so the outcome shows the effect of this fault alone. */
export const FAULTS: readonly Fault[] = [
    {
        name: "endpoint refuses",
        apply: simulation => {
            const { attempt } = connectionOf(simulation);
            simulation.handle({ kind: "endpointRefused", attempt, detail: "no room" });
        },
        impossible: {
            steps: [...STEPS_BEFORE_SEND, ...STEPS_AFTER_HEAD, "settled"],
            why: "a refusal answers the first bytes",
        },
        allowed: () => ["whole after retry"],
    },
    {
        name: "endpoint cannot be reached",
        apply: simulation => simulation.breakConnection("connect"),
        impossible: {
            steps: [...STEPS_BEFORE_ADMISSION, "first byte sent", ...STEPS_AFTER_HEAD, "settled"],
            why: "the connection stands",
        },
        allowed: () => ["whole after retry"],
    },
    {
        name: "endpoint dies",
        apply: simulation => simulation.loseGeneration(),
        impossible: impossibleWithoutEndpoint,
        allowed: (cfg, step) => {
            const code = step === "first byte sent" ? FailCode.EndpointLost : FailCode.StreamIncomplete;
            return step === "admitted" || step === "connecting"
                ? ["whole after retry"]
                : outcomesAfterEngineLoss(code)(cfg, step);
        },
    },
    {
        name: "connection resets, generation lives",
        apply: simulation => simulation.breakConnection("reset"),
        impossible: {
            steps: [...STEPS_BEFORE_SEND, "first byte sent", "settled"],
            why: "no generation is known yet, or it is done",
        },
        allowed: () => ["whole"],
    },
    {
        name: "endpoint stalls",
        apply: simulation => simulation.breakConnection(simulation.state.tokenSeen ? "idle" : "firstToken"),
        impossible: { steps: [...STEPS_BEFORE_SEND, "settled"], why: "nothing is awaited" },
        allowed: (cfg, step) =>
            step === "first byte sent"
                ? cfg.repeatable ? ["whole after retry"] : [`${FailCode.EndpointSilent}, ran unknown`]
                : ["whole"],
    },
    {
        name: "endpoint answers nonsense",
        apply: simulation => simulation.breakConnection("invalid"),
        impossible: { steps: [...STEPS_BEFORE_SEND, "settled"], why: "nothing is awaited" },
        allowed: (cfg, step) => {
            const wasDelivered = cfg.streamed && isStreaming(step);
            if (cfg.repeatable && !wasDelivered) return ["whole after retry"];
            return [`${FailCode.EndpointInvalid}, ran ${isStreaming(step) ? "yes" : "unknown"}`];
        },
    },
    {
        name: "endpoint repeats a token",
        apply: simulation => {
            const { attempt, generation, next } = connectionOf(simulation);
            for (let index = 0; index < next; index++) simulation.handle({ kind: "token", attempt, generation, index });
        },
        impossible: impossibleWithoutAnswer,
        allowed: () => ["whole"],
    },
    {
        name: "endpoint skips a token",
        apply: simulation => {
            const { attempt, generation, next } = connectionOf(simulation);
            simulation.handle({ kind: "token", attempt, generation, index: next + 1 });
        },
        impossible: {
            steps: [...impossibleWithoutAnswer.steps, "before the last token"],
            why: `${impossibleWithoutAnswer.why}; after the last there is none to come early`,
        },
        allowed: () => ["whole"],
    },
    {
        name: "endpoint ends early",
        apply: simulation => {
            const { attempt, generation } = connectionOf(simulation);
            simulation.handle({ kind: "finished", attempt, generation, total: TOKEN_COUNT });
        },
        impossible: impossibleWithoutAnswer,
        allowed: () => ["whole"],
    },
    {
        name: "answer of another request or attempt",
        apply: simulation => {
            const { generation, next } = connectionOf(simulation);
            simulation.handle({ kind: "opened", attempt: "other.1", generation: "g-other" });
            simulation.handle({ kind: "token", attempt: "other.1", generation, index: next });
            simulation.handle({ kind: "finished", attempt: "other.1", generation, total: next });
        },
        impossible: { steps: [...STEPS_BEFORE_ADMISSION, "settled"], why: "no connection is open" },
        allowed: () => ["whole"],
    },
    {
        name: "endpoint lies about its generation",
        apply: simulation => {
            const { attempt, next } = connectionOf(simulation);
            simulation.handle({ kind: "opened", attempt, generation: "g-other" });
            simulation.handle({ kind: "token", attempt, generation: "g-other", index: next });
        },
        impossible: impossibleWithoutAnswer,
        allowed: () => ["whole"],
    },
    {
        name: "answer after the end",
        apply: simulation => {
            simulation.handle({ kind: "token", attempt: "r.1", generation: "g1", index: TOKEN_COUNT });
            simulation.handle({ kind: "lost", attempt: "r.1", cause: "reset", detail: "late" });
            simulation.handle({ kind: "endpointRefused", attempt: "r.1", detail: "late" });
        },
        impossible: {
            steps: [...STEPS_BEFORE_SEND, "first byte sent", ...STEPS_AFTER_HEAD],
            why: "the request has not ended",
        },
        allowed: () => ["whole"],
    },
    {
        name: "caller leaves",
        apply: simulation => simulation.handle({ kind: "callerGone" }),
        impossible: possibleAtEveryStep,
        allowed: (_cfg, step) => step === "settled" ? ["whole"] : ["caller gone"],
    },
    {
        name: "deadline passes",
        apply: simulation => simulation.handle({ kind: "deadline" }),
        impossible: possibleAtEveryStep,
        allowed: (_cfg, step) => {
            if (step === "settled") return ["whole"];
            const ran = STEPS_BEFORE_SEND.includes(step) ? "no" : isStreaming(step) ? "yes" : "unknown";
            return [`${FailCode.DeadlinePassed}, ran ${ran}`];
        },
    },
    {
        name: "host is told to stop",
        apply: simulation => simulation.handle({ kind: "stopping" }),
        impossible: possibleAtEveryStep,
        allowed: (_cfg, step) => STEPS_BEFORE_ADMISSION.includes(step) ? [`${FailCode.Stopping}, ran no`] : ["whole"],
    },
    {
        name: "no endpoint has room",
        apply: simulation =>
            simulation.handle({
                kind: "notAdmitted",
                code: FailCode.WaitTooLong,
                detail: "full",
                retryAfterMs: 500,
            }),
        impossible: { steps: [...STEPS.slice(2)], why: "it has been placed" },
        allowed: () => [`${FailCode.WaitTooLong}, ran no`],
    },
    {
        name: "connection resets, then the endpoint dies",
        apply: simulation => (simulation.breakConnection("reset"), simulation.loseGeneration()),
        impossible: {
            steps: [...STEPS_BEFORE_SEND, "first byte sent", "settled"],
            why: "no generation is known yet, or it is done",
        },
        allowed: outcomesAfterEngineLoss(FailCode.StreamIncomplete),
    },
    {
        name: "endpoint dies, then the next one too",
        apply: simulation => {
            simulation.loseGeneration();
            for (let round = 0; round < 6 && !simulation.finalResult; round++) simulation.advance();
            if (!simulation.finalResult) simulation.loseGeneration();
        },
        impossible: { steps: [...STEPS_BEFORE_SEND, "settled"], why: "covered by the endpoint that cannot be reached" },
        allowed: (cfg, step) => {
            const code = step === "first byte sent" ? FailCode.EndpointLost : FailCode.StreamIncomplete;
            return [...outcomesAfterEngineLoss(code)(cfg, step), `${FailCode.StreamIncomplete}, ran yes`];
        },
    },
    {
        name: "request is quarantined as it waits",
        apply: simulation => {
            simulation.isQuarantined = true;
        },
        impossible: {
            steps: ["admitted", "connecting", "first byte sent", ...STEPS_AFTER_HEAD, "settled"],
            why: "what was begun goes on",
        },
        allowed: () => [`${FailCode.Quarantined}, ran no`],
    },
    {
        name: "endpoint dies, and the request is quarantined for it",
        apply: simulation => {
            simulation.isQuarantined = true;
            simulation.loseGeneration();
        },
        impossible: impossibleWithoutEndpoint,
        allowed: (cfg, step) => {
            if (step === "admitted" || step === "connecting") return [`${FailCode.Quarantined}, ran no`];
            const wasDelivered = cfg.streamed && isStreaming(step);
            const ran = isStreaming(step) ? "yes" : "unknown";
            if (cfg.repeatable && !wasDelivered) return [`${FailCode.Quarantined}, ran ${ran}`];
            return outcomesAfterEngineLoss(
                step === "first byte sent" ? FailCode.EndpointLost : FailCode.StreamIncomplete,
            )(cfg, step);
        },
    },
    {
        name: "endpoint dies while the host stops",
        apply: simulation => (simulation.handle({ kind: "stopping" }), simulation.loseGeneration()),
        impossible: { steps: [...STEPS_BEFORE_ADMISSION, "settled"], why: "no endpoint is involved" },
        allowed: (cfg, step) => {
            const code = step === "first byte sent" ? FailCode.EndpointLost : FailCode.StreamIncomplete;
            return step === "admitted" || step === "connecting"
                ? ["whole after retry"]
                : outcomesAfterEngineLoss(code)(cfg, step);
        },
    },
];

/** Kinds of requests that the matrix covers. */
export const REQUEST_KINDS: readonly { readonly name: string; readonly cfg: SimulationCfg }[] = [
    { name: "repeatable, streamed", cfg: { repeatable: true, streamed: true, tokens: TOKEN_COUNT } },
    { name: "repeatable, whole", cfg: { repeatable: true, streamed: false, tokens: TOKEN_COUNT } },
    { name: "not repeatable, streamed", cfg: { repeatable: false, streamed: true, tokens: TOKEN_COUNT } },
    { name: "not repeatable, whole", cfg: { repeatable: false, streamed: false, tokens: TOKEN_COUNT } },
];

/** Result of one fault at one step. */
export interface CellResult {
    readonly outcome: string;
    readonly allowed: readonly string[];
    readonly violations: readonly string[];
}

/**
 * Runs one fault at one step; undefined if the fault cannot occur there.
 *
 * @example
 * ```ts
 * runCell(FAULTS[0]!, "first byte sent", REQUESTS[0]!.cfg)?.outcome; // "whole after retry"
 * ```
 */
export function runCell(fault: Fault, step: StepName, cfg: SimulationCfg): CellResult | undefined {
    if (fault.impossible.steps.includes(step)) return undefined;
    const simulation = new RequestSimulation(cfg);
    ADVANCE_TO[step](simulation);
    fault.apply(simulation);
    simulation.runToEnd();
    return {
        outcome: simulation.describeOutcome(),
        allowed: fault.allowed(cfg, step),
        violations: simulation.findViolations(),
    };
}

/** Renders the matrix as Markdown, one table for each kind of request. */
export function renderMatrix(): string {
    const tables = REQUEST_KINDS.map(({ name, cfg }) => {
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
