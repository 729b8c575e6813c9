/**
 * Makes the attempts of a forwarded call at the endpoints that the scheduler chose.
 *
 * @module
 */
import type { RequestIdentity } from "@drumpaddle/hall";
import { HeldKind } from "@drumpaddle/policy";
import type { AnswerHead } from "@drumpaddle/protocol";
import type { EndpointEntry } from "@drumpaddle/routes";
import { logNotRun } from "./attempt-log.js";
import { type CallProgress, continuationOf, knownStandby, recordProgress, sentBefore } from "./call-progress.js";
import { type AnswerPiece, startAttempt } from "./forward-attempt.js";
import type { ForwardCall, GatewayContext } from "./forward-call.js";
import { rankOf } from "./forward-job.js";
import { firstEventCfgOf, silenceCfgOf } from "./forward-silence.js";
import { guardAttempt } from "./guard-attempt.js";
import type { AttemptRunner } from "./request-driver.js";
import { settledRunner } from "./settled-runner.js";
import { stopEarlierRun, stopSilentStream } from "./stop-elsewhere.js";

/** Answers with this status or above come from endpoints that did not use the prompt. */
const MIN_REFUSED_STATUS = 400;

/** Creates the runner of one call; its attempts update `progress`. */
export function forwardRunner(
    deps: GatewayContext,
    call: ForwardCall,
    progress: CallProgress,
    identity: RequestIdentity,
): AttemptRunner<AnswerPiece> {
    const { head, route, workspace, target, req, memory } = call;
    const endpointOf = (incarnation: string): EndpointEntry | undefined =>
        knownStandby(progress, incarnation) ?? deps.endpoint(incarnation);
    const runner: AttemptRunner<AnswerPiece> = {
        start: ({ attempt, endpoint: incarnation, backUp, continueAt }, unloggedSink, signal) => {
            const sink = logNotRun(unloggedSink, deps, progress, { req: head.id, attempt, endpoint: incarnation });
            const endpoint = endpointOf(incarnation);
            const copy = progress.copy?.standby.incarnation === incarnation ? progress.copy : undefined;
            progress.copy = undefined;
            progress.lostBy = undefined;
            progress.isStopped = false;
            deps.stops.cancel(head.id, incarnation);
            progress.attemptId = attempt;
            progress.bodyUnread = undefined;
            progress.connection = undefined;
            progress.endpoint = endpoint;
            progress.slowness = deps.engines.slownessOf(incarnation);
            if (copy) deps.copies.end(head.id, true);
            progress.standby = backUp === undefined ? undefined : deps.endpoint(backUp);
            if (!endpoint) {
                sink.report({
                    kind: "lost",
                    attempt,
                    cause: "connect",
                    detail: "the endpoint is no longer registered",
                });
                return;
            }
            // The hall may have been evacuated since the scheduler chose the endpoint.
            if (deps.isEvacuated(endpoint.hall)) {
                deps.log.info({ req: head.id, endpoint: incarnation, hall: endpoint.hall }, "send_withheld");
                sink.report({ kind: "lost", attempt, cause: "connect", detail: "the endpoint's hall is evacuated" });
                return;
            }
            if (continueAt !== undefined) {
                deps.log.info(
                    { req: head.id, endpoint: incarnation, event: continueAt, last: progress.lastEventId },
                    "call_continued",
                );
            }
            startAttempt(deps.connections, deps.wire, {
                id: attempt,
                endpoint,
                method: req.method ?? "GET",
                path: target,
                send: {
                    call: route.resumable ? head : { ...head, resumeAfter: undefined },
                    deadlineMs: progress.deadline - deps.clock.now(),
                    endpointId: endpoint.id,
                    workspace: workspace?.name,
                    rank: rankOf(call),
                    standbyAddress: progress.standby?.address,
                    continueFrom: continueAt === undefined
                        ? undefined
                        : continuationOf(progress, head.id, endpoint, copy),
                },
                body: progress.body,
                alreadySent: sentBefore(progress, continueAt),
                silence: silenceCfgOf(
                    deps,
                    call,
                    endpoint,
                    backUp,
                    () => progress.connection?.route !== undefined,
                    () => stopSilentStream(deps, call, progress, endpoint),
                ),
                firstEvent: firstEventCfgOf(deps, call, endpoint),
                sink: guardAttempt(recordProgress(sink, progress, () => deps.clock.now()), deps.guard, {
                    req: head.id,
                    route: route.name,
                    workspace: workspace?.name,
                    attempt,
                    ...identity,
                    endpoint,
                    signal,
                    isAnswer: piece => piece !== undefined && piece.status < MIN_REFUSED_STATUS,
                }),
                whenRoom: resume => memory.whenReadable(resume),
                holdLimit: () => memory.maxHeldAnswerBytes,
                onHeld: bytes => memory.hold(HeldKind.Answer, bytes + (progress.failedAnswer?.body.length ?? 0)),
                trackBodyStall: unreadMs => memory.bodyStuckMs = unreadMs,
                onBodyUnread: (bytes, ms) => progress.bodyUnread = { bytes, ms },
                usedConnections: progress.usedConnections,
                onConnection: use => {
                    progress.connection = use;
                    progress.usedConnections.add(use.connection);
                },
                now: () => deps.clock.now(),
                onAnswered: (status, answer) => {
                    const { framed, id } = answer;
                    progress.lastAnswer = { status, framed, namesCall: id === head.id };
                    if (continueAt !== undefined) logContinuation(deps, head.id, incarnation, status, answer);
                },
                onSelfReport: (status, answer) => deps.notices.receiveAnswerHead(incarnation, status, answer),
                onMisdirected: () => deps.onMisdirected(incarnation),
                incarnationSignal: deps.incarnationSignals.signalOf(incarnation),
                signal,
            });
        },
        resume: (attempt, _endpoint, _generation, _from, sink) =>
            void sink.report({
                kind: "lost",
                attempt,
                cause: "resumeRefused",
                detail: "calls are not resumed in place",
            }),
        // Nothing to send: the driver aborts the attempt's signal, and the closed connection cancels the call at most endpoints. Where
        // the call is to run again, `stopEarlierRun` stops it at the others.
        cancel: () => undefined,
    };
    const stoppingRunner = settledRunner(runner, plan => stopEarlierRun(deps, call, progress, plan));
    return settledRunner(stoppingRunner, plan => {
        const endpoint = endpointOf(plan.endpoint);
        return endpoint && deps.settleRestart(endpoint);
    });
}

/** Logs the answer of an endpoint that was asked to continue a stream. */
function logContinuation(
    deps: GatewayContext,
    req: string,
    endpoint: string,
    status: number,
    { isEventStream, framed, notRun }: AnswerHead,
): void {
    deps.log.info({ req, endpoint, status, stream: isEventStream, framed, not_run: notRun }, "continuation_answered");
}
