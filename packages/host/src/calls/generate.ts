/**
 * Serves one generation: from the caller's body to the last token.
 *
 * @module
 */
import { placeIn, shareOf } from "@drumpaddle/hall";
import {
    HeldKind,
    type Job,
    type JobPolicy,
    type LimitRefusal,
    type Priority,
    quantileLength,
    reserve,
    settle,
    survivalOf,
    type WorkspaceLimits,
} from "@drumpaddle/policy";
import {
    type BodyFacts,
    ChatBody,
    checkBody,
    CompletionBody,
    factsOf,
    type GenerationBody,
} from "@drumpaddle/protocol";
import { FailCode } from "@drumpaddle/request";
import type { Settings } from "@drumpaddle/settings";
import type { ServerResponse } from "node:http";
import type { CallMemory } from "../runtime/call-memory.js";
import type { Directory } from "../store/directory.js";
import { type ApiError, streamReply, wholeReply, writeError } from "./answer.js";
import { CallerQueue } from "./caller-queue.js";
import { type EnginePiece, engineRunner } from "./engine-runner.js";
import { fingerprintOf } from "./fingerprint.js";
import { deliver, errorOf } from "./given-up.js";
import { guardRunner } from "./guard-attempt.js";
import type { Host } from "./host.js";
import { Run, type RunEnd } from "./run.js";
import { createStallWatch } from "./stall-watch.js";

/** The time to the first token that the service is designed for (docs/CAPACITY.md). */
const FIRST_TOKEN_MS = 1_900;

/** A caller's request after it was read and its key was checked. */
export interface Incoming {
    readonly id: string;
    readonly workspace: string;
    readonly directory: Directory;
    readonly body: unknown;
    readonly bytes: number;
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly out: ServerResponse;
    /** What it holds. */
    readonly memory: CallMemory;
    readonly chat: boolean;
}

/** Rank of a class of priority among requests that wait. */
const RANK = { live: 0, normal: 1, batch: 2 } as const satisfies Record<Priority, number>;

/** Settings as decisions use them. */
export function policyOf(settings: Settings): JobPolicy {
    return {
        priority: settings.priority,
        rank: RANK[settings.priority],
        weight: 1,
        quantile: settings["admission-quantile"],
        gapTargetMs: settings["gap-target"],
        objectiveMs: FIRST_TOKEN_MS,
        weightTail: settings["weight-tail"],
        weightStall: settings["weight-stall"],
        weightPrefix: settings["weight-prefix"],
        maxWaitMs: settings["max-wait"],
        usefulMs: settings["max-wait"],
        queueLimit: settings["queue-limit"],
        retryShare: settings["retry-share"],
    };
}

/**
 * This host's share of a workspace's limits: its hall's part of the whole, split evenly over the hall's live hosts. Each
 * host works it out alone, so a hall that is cut off stays within its part.
 */
export function limitsOf(host: Host, directory: Directory, settings: Settings): WorkspaceLimits {
    const limits = {
        requestsPerMinute: settings["requests-per-minute"],
        tokensPerMinute: settings["tokens-per-minute"],
        openStreams: settings["open-streams"],
    };
    const hall = placeIn(host.cfg["host.hall"], directory.halls);
    return shareOf(limits, hall, placeIn(host.cfg["host.name"], host.peers?.live ?? []));
}

/** A limit's refusal as the caller sees it: which limit, its use, and when it has room. */
export function limitError({ limit, allowed, used, resetMs }: LimitRefusal): ApiError {
    return {
        status: 429,
        code: FailCode.LimitReached,
        message: `the workspace's limit ${limit} of ${allowed} is reached`,
        ran: "no",
        retryAfterMs: resetMs,
        facts: { limit, allowed, used, retryable: resetMs !== undefined },
    };
}

/** Share of outputs that a reservation covers; what it misses is settled at the end. */
const RESERVE_QUANTILE = 0.5;

/** Serves a generation; every way out writes an answer. */
export function generate(host: Host, incoming: Incoming): void {
    const { directory, workspace, out } = incoming;
    const headers = { "x-request-id": incoming.id };
    const refuse = (err: ApiError): void => {
        host.metrics.countOutcome(err.code as FailCode, err.ran);
        host.log.info(
            { req: incoming.id, workspace, code: err.code, ran: err.ran, detail: err.message },
            "request_refused",
        );
        writeError(out, err, headers);
    };
    const checked = checkBody(incoming.chat ? ChatBody : CompletionBody, incoming.body);
    if (!checked.ok) {
        return refuse({
            status: 400,
            code: "bad_request",
            message: checked.err.detail,
            ran: "no",
            field: checked.err.field,
        });
    }
    const facts = factsOf(checked.body, incoming.bytes);
    const service = directory.models.get(facts.model);
    if (service === undefined) {
        return refuse({ status: 404, code: "model_not_found", message: `no such model`, ran: "no", field: "/model" });
    }
    const settings = directory.settingsFor(workspace, service);
    const most = settings["max-output-tokens"];
    if ((facts.maxTokens ?? 0) > most) {
        return refuse({
            status: 400,
            code: "bad_request",
            message: `at most ${most} output tokens are allowed`,
            ran: "no",
            field: "/max_tokens",
        });
    }
    const job = jobOf(incoming, facts, service, settings);
    const taken = reserveLimits(host, incoming.directory, job, settings);
    if (taken) return refuse(limitError(taken));
    start(host, incoming, checked.body, facts, job, settings);
}

function jobOf(incoming: Incoming, facts: BodyFacts, service: string, settings: Settings): Job {
    return {
        id: incoming.id,
        group: { workspace: incoming.workspace, service, model: facts.model },
        promptTokens: facts.promptTokens,
        maxTokens: facts.maxTokens ?? settings["max-output-tokens"],
        prefix: facts.prefix === "" ? "" : `${incoming.workspace}/${facts.prefix}`,
        prefixTokens: Math.floor(facts.promptTokens / 2),
        policy: policyOf(settings),
    };
}

function reserveLimits(host: Host, directory: Directory, job: Job, settings: Settings): LimitRefusal | undefined {
    const lengths = survivalOf(host.engines.view.estimates, job.group, job.maxTokens);
    const tokens = job.promptTokens + quantileLength(lengths, 0, RESERVE_QUANTILE);
    const taken = reserve(
        host.limits.state,
        job.id,
        job.group.workspace,
        limitsOf(host, directory, settings),
        tokens,
        host.clock.now(),
    );
    if (!taken.ok) return taken.refusal;
    host.limits.state = taken.state;
    return undefined;
}

function isNotRepeatable(incoming: Incoming, settings: Settings): boolean {
    return incoming.headers["x-not-repeatable"] === "true" || !settings.repeatable;
}

/** What the engine is sent: the caller's body, always streamed, with the priority that was decided. */
function engineBody(body: GenerationBody, priority: number): string {
    return JSON.stringify({ ...body, stream: true, priority });
}

function start(
    host: Host,
    incoming: Incoming,
    body: GenerationBody,
    facts: BodyFacts,
    job: Job,
    settings: Settings,
): void {
    const { out, directory, id, chat } = incoming;
    const headers = { "x-request-id": id, "x-settings-version": String(directory.version) };
    const { memory } = incoming;
    const queue = new CallerQueue(out, memory);
    const onHeld = (bytes: number): void => memory.hold(HeldKind.Answer, bytes);
    const stall = createStallWatch(
        out,
        memory,
        settings["caller-stall-timeout"],
        () => run.event({ kind: "callerGone" }),
    );
    host.metrics.open.inc();
    const path = chat ? "/v1/chat/completions" : "/v1/completions";
    const urlOf = (endpoint: string): string | undefined =>
        host.feed.directory?.endpoints.get(endpoint)?.url ?? directory.endpoints.get(endpoint)?.url;
    const fingerprint = fingerprintOf({
        method: "POST",
        host: "",
        target: path,
        workspace: incoming.workspace,
        body: Buffer.from(JSON.stringify(body)),
    });
    const runner = engineRunner({
        dispatcher: host.dispatcher,
        urlOf,
        path,
        requestId: id,
        bodyWith: priority => engineBody(body, priority),
        limits: { firstTokenMs: settings["first-token-timeout"], idleMs: settings["idle-timeout"] },
        ready: stall.ready,
        now: () => host.clock.now(),
    });
    const guarded = { req: id, route: job.group.service, workspace: incoming.workspace, fingerprint };
    const run: Run<EnginePiece> = new Run<EnginePiece>({
        cfg: {
            id,
            repeatable: !isNotRepeatable(incoming, settings),
            streamed: facts.stream,
            maxAttempts: settings.attempts,
            maxResumes: settings.resumes,
            deadline: host.clock.now() + settings["request-deadline"],
        },
        clock: host.clock,
        job,
        placement: host.engines,
        runner: guardRunner(runner, host.guard, guarded, urlOf),
        withhold: attempt => host.guard.withhold(fingerprint, { attempt }),
        reply: facts.stream
            ? streamReply(out, queue, headers)
            : wholeReply(out, onHeld, headers, chat, facts.promptTokens),
        onGap: ms => host.metrics.betweenTokens.record(ms),
        onDispatch: kind => host.metrics.countDispatch(kind),
        onEnd: end => {
            stall.end();
            memory.hold(HeldKind.Body, 0);
            memory.hold(HeldKind.Answer, 0);
            queueMicrotask(() => {
                host.runs.delete(run);
                deliver(host.runs, out, memory, queue);
            });
            settleRun(host, job, end);
        },
    });
    if (run.ended) return;
    host.runs.add(run);
    memory.onGiveUp = givenUp => run.event({ kind: "givenUp", ...errorOf(givenUp) });
    memory.onRead = () => run.readOn();
    out.on("close", () => run.event({ kind: "callerGone" }));
}

/** What ran is paid for; what provably did not is given back. */
function settleRun(host: Host, job: Job, end: RunEnd): void {
    const ran = end.err?.ran ?? "yes";
    const settlement = ran === "no"
        ? { kind: "notRun" as const }
        : { kind: "ran" as const, ranTokens: ran === "yes" ? job.promptTokens + end.tokens : undefined };
    host.limits.state = settle(host.limits.state, job.id, settlement);
    host.metrics.open.dec();
    host.metrics.countOutcome(end.err?.code ?? "whole", ran);
    host.metrics.countDiscards({ ...end.state.discards });
    if (end.firstTokenMs !== undefined) {
        host.metrics.firstToken.record(end.firstTokenMs);
        host.metrics.stall.record(end.stallMs);
    }
    if (!host.cfg["log.requests"]) return;
    const { workspace, service, model } = job.group;
    host.log.info({
        req: job.id,
        workspace,
        service,
        model,
        endpoint: end.endpoint,
        outcome: end.err?.code ?? "whole",
        ran,
        detail: end.err?.detail,
        attempts: end.state.attempts,
        tokens: end.tokens,
        first_token_ms: end.firstTokenMs === undefined ? undefined : Math.round(end.firstTokenMs),
        stall_ms: Math.round(end.stallMs),
    }, "request_ended");
}
