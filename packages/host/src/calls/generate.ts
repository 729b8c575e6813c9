/**
 * Serves one generation, from the caller's body to the last token.
 *
 * @module
 */
import { hostShareOfLimits, shareIndexIn } from "@drumpaddle/hall";
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
    bodyFactsOf,
    ChatBody,
    checkBody,
    CompletionBody,
    type GenerationBody,
} from "@drumpaddle/protocol";
import { FailCode } from "@drumpaddle/request";
import type { Settings } from "@drumpaddle/settings";
import type { ServerResponse } from "node:http";
import type { CallMemory } from "../runtime/call-memory.js";
import type { Directory } from "../store/directory.js";
import { type ApiError, streamReply, wholeReply, writeError } from "./caller-answer.js";
import { CallerQueue } from "./caller-queue.js";
import { type EngineEventData, engineRunner } from "./engine-runner.js";
import { fingerprintOf, sharedMessagesOf } from "./fingerprint.js";
import { giveUpError, trackDelivery } from "./given-up.js";
import { guardRunner } from "./guard-attempt.js";
import type { Host } from "./host.js";
import { RequestDriver, type RequestEnd } from "./request-driver.js";
import { createStallWatch } from "./stall-watch.js";

/** Objective for the time to the first token that the service is designed for (docs/CAPACITY.md). */
const FIRST_TOKEN_OBJECTIVE_MS = 1_900;

/** A caller's request, after its body was read and its key was checked. */
export interface GenerationCall {
    readonly id: string;
    readonly workspace: string;
    readonly directory: Directory;
    readonly body: unknown;
    /** Length of the body. */
    readonly bytes: number;
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly out: ServerResponse;
    /** Accounts for the memory that the call holds. */
    readonly memory: CallMemory;
    /** Whether it is a chat completion rather than a text completion. */
    readonly chat: boolean;
}

/** Rank of each priority class among waiting requests; lower ranks go first. */
const RANK_OF_PRIORITY = { live: 0, normal: 1, batch: 2 } as const satisfies Record<Priority, number>;

/** Converts settings into the policy of a job, as the scheduler uses it. */
export function policyOf(settings: Settings): JobPolicy {
    return {
        priority: settings.priority,
        rank: RANK_OF_PRIORITY[settings.priority],
        weight: 1,
        quantile: settings["admission-quantile"],
        gapTargetMs: settings["gap-target"],
        objectiveMs: FIRST_TOKEN_OBJECTIVE_MS,
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
 * Returns this host's share of a workspace's limits: the share of its hall, split evenly over the hall's live hosts.
 * Each host computes it alone, so a hall that is disconnected stays within its share.
 */
export function limitsOf(host: Host, directory: Directory, settings: Settings): WorkspaceLimits {
    const limits = {
        requestsPerMinute: settings["requests-per-minute"],
        tokensPerMinute: settings["tokens-per-minute"],
        openStreams: settings["open-streams"],
    };
    const hall = shareIndexIn(host.cfg["host.hall"], directory.halls);
    return hostShareOfLimits(limits, hall, shareIndexIn(host.cfg["host.name"], host.peers?.live ?? []));
}

/** Returns the error of a reached limit: which limit, its usage, and when it frees up. */
export function limitReached({ limit, allowed, used, resetMs }: LimitRefusal): ApiError {
    return {
        status: 429,
        code: FailCode.LimitReached,
        message: `the workspace's limit ${limit} of ${allowed} is reached`,
        ran: "no",
        retryAfterMs: resetMs,
        facts: { limit, allowed, used, retryable: resetMs !== undefined },
    };
}

/** Quantile of the output length that a reservation covers; the difference to the real length is settled at the end. */
const RESERVED_QUANTILE = 0.5;

/** Serves a generation. Every call gets an answer. */
export function generate(host: Host, call: GenerationCall): void {
    const { directory, workspace, out } = call;
    const headers = { "x-request-id": call.id };
    const refuse = (err: ApiError): void => {
        host.metrics.countOutcome(err.code as FailCode, err.ran);
        host.log.info(
            { req: call.id, workspace, code: err.code, ran: err.ran, detail: err.message },
            "request_refused",
        );
        writeError(out, err, headers);
    };
    const checked = checkBody(call.chat ? ChatBody : CompletionBody, call.body);
    if (!checked.ok) {
        return refuse({
            status: 400,
            code: "bad_request",
            message: checked.err.detail,
            ran: "no",
            field: checked.err.field,
        });
    }
    const facts = bodyFactsOf(checked.body, call.bytes);
    const service = directory.models.get(facts.model);
    if (service === undefined) {
        return refuse({ status: 404, code: "model_not_found", message: `no such model`, ran: "no", field: "/model" });
    }
    const settings = directory.settingsFor(workspace, service);
    const maxOutputTokens = settings["max-output-tokens"];
    if ((facts.maxTokens ?? 0) > maxOutputTokens) {
        return refuse({
            status: 400,
            code: "bad_request",
            message: `at most ${maxOutputTokens} output tokens are allowed`,
            ran: "no",
            field: "/max_tokens",
        });
    }
    const job = jobOf(call, facts, service, settings);
    const refusal = reserveLimits(host, call.directory, job, settings);
    if (refusal) return refuse(limitReached(refusal));
    start(host, call, checked.body, facts, job, settings);
}

function jobOf(call: GenerationCall, facts: BodyFacts, service: string, settings: Settings): Job {
    return {
        id: call.id,
        group: { workspace: call.workspace, service, model: facts.model },
        promptTokens: facts.promptTokens,
        maxTokens: facts.maxTokens ?? settings["max-output-tokens"],
        prefix: facts.prefix === "" ? "" : `${call.workspace}/${facts.prefix}`,
        prefixTokens: Math.floor(facts.promptTokens / 2),
        policy: policyOf(settings),
    };
}

function reserveLimits(host: Host, directory: Directory, job: Job, settings: Settings): LimitRefusal | undefined {
    const lengths = survivalOf(host.engines.view.estimates, job.group, job.maxTokens);
    const tokens = job.promptTokens + quantileLength(lengths, 0, RESERVED_QUANTILE);
    const reserved = reserve(
        host.limits.state,
        job.id,
        job.group.workspace,
        limitsOf(host, directory, settings),
        tokens,
        host.clock.now(),
    );
    if (!reserved.ok) return reserved.refusal;
    host.limits.state = reserved.state;
    return undefined;
}

function isNotRepeatable(call: GenerationCall, settings: Settings): boolean {
    return call.headers["x-not-repeatable"] === "true" || !settings.repeatable;
}

/** Returns the body for the engine: the caller's, always streamed, with the priority that the scheduler decided. */
function engineBody(body: GenerationBody, priority: number): string {
    return JSON.stringify({ ...body, stream: true, priority });
}

function start(
    host: Host,
    call: GenerationCall,
    body: GenerationBody,
    facts: BodyFacts,
    job: Job,
    settings: Settings,
): void {
    const { out, directory, id, chat } = call;
    const headers = { "x-request-id": id, "x-settings-version": String(directory.version) };
    const { memory } = call;
    const queue = new CallerQueue(out, memory);
    const onHeldBytes = (bytes: number): void => memory.hold(HeldKind.Answer, bytes);
    const stall = createStallWatch(
        out,
        memory,
        settings["caller-stall-timeout"],
        () => driver.handle({ kind: "callerGone" }),
    );
    host.metrics.open.inc();
    const path = chat ? "/v1/chat/completions" : "/v1/completions";
    const urlOf = (endpoint: string): string | undefined =>
        host.feed.directory?.endpoints.get(endpoint)?.url ?? directory.endpoints.get(endpoint)?.url;
    const fingerprint = fingerprintOf({
        method: "POST",
        host: "",
        target: path,
        workspace: call.workspace,
        body: Buffer.from(JSON.stringify(body)),
    });
    const parts = sharedMessagesOf(body);
    const runner = engineRunner({
        dispatcher: host.dispatcher,
        urlOf,
        path,
        requestId: id,
        bodyWith: priority => engineBody(body, priority),
        limits: { firstTokenMs: settings["first-token-timeout"], idleMs: settings["idle-timeout"] },
        whenCallerReads: stall.whenCallerReads,
        now: () => host.clock.now(),
    });
    const guardedCall = { req: id, route: job.group.service, workspace: call.workspace, fingerprint, parts };
    const driver: RequestDriver<EngineEventData> = new RequestDriver<EngineEventData>({
        cfg: {
            id,
            repeatable: !isNotRepeatable(call, settings),
            streamed: facts.stream,
            maxAttempts: settings.attempts,
            maxResumes: settings.resumes,
            deadline: host.clock.now() + settings["request-deadline"],
        },
        clock: host.clock,
        job,
        placement: host.engines,
        runner: guardRunner(runner, host.guard, guardedCall, urlOf),
        withholdReason: attempt => host.guard.withhold(guardedCall, { attempt }),
        reply: facts.stream
            ? streamReply(out, queue, headers)
            : wholeReply(out, onHeldBytes, headers, chat, facts.promptTokens),
        onGap: ms => host.metrics.betweenTokens.record(ms),
        onDispatch: kind => host.metrics.countDispatch(kind),
        onEnd: end => {
            stall.end();
            memory.hold(HeldKind.Body, 0);
            memory.hold(HeldKind.Answer, 0);
            queueMicrotask(() => {
                trackDelivery(host.openRequests, out, memory, queue);
                host.openRequests.delete(driver);
            });
            settleAndLog(host, job, end);
        },
    });
    if (driver.hasEnded) return;
    host.openRequests.add(driver);
    memory.onGiveUp = givenUp => driver.handle({ kind: "givenUp", ...giveUpError(givenUp) });
    memory.onResume = () => driver.onReadResumed();
    out.on("close", () => driver.handle({ kind: "callerGone" }));
}

/**
 * Settles the reservation and logs the end of a request. Used tokens are charged; a request that did not run is charged
 * nothing.
 */
function settleAndLog(host: Host, job: Job, end: RequestEnd): void {
    const ran = end.err?.ran ?? "yes";
    const settlement = ran === "no"
        ? { kind: "notRun" as const }
        : { kind: "ran" as const, ranTokens: ran === "yes" ? job.promptTokens + end.tokens : undefined };
    host.limits.state = settle(host.limits.state, job.id, settlement);
    host.metrics.open.dec();
    host.metrics.countOutcome(end.err?.code ?? "whole", ran);
    host.metrics.countDiscardedTokens({ ...end.state.discards });
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
