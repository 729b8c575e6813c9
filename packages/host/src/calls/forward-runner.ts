/**
 * Makes the attempts of a forwarded call at the endpoints that were decided for it.
 *
 * @module
 */
import { HeldKind } from "@drumpaddle/policy";
import type { AnswerHead } from "@drumpaddle/protocol";
import { type CallProgress, continuationOf, knownStandby, recordProgress, sentBefore } from "./call-progress.js";
import { type AnswerPiece, startAttempt } from "./forward-attempt.js";
import type { ForwardCall, Forwarding } from "./forward-call.js";
import { rankOf } from "./forward-job.js";
import { silenceOf } from "./forward-silence.js";
import { guardAttempt } from "./guard-attempt.js";
import type { AttemptRunner } from "./run.js";

/** The runner of one call; `progress` takes what its attempts come to. */
export function runnerOf(
    deps: Forwarding,
    call: ForwardCall,
    progress: CallProgress,
    fingerprint: string,
): AttemptRunner<AnswerPiece> {
    const { head, route, workspace, target, req, memory } = call;
    return {
        start: ({ attempt, endpoint: incarnation, backUp, continueAt }, sink, signal) => {
            const endpoint = knownStandby(progress, incarnation) ?? deps.endpoint(incarnation);
            const copy = progress.copy?.standby.incarnation === incarnation ? progress.copy : undefined;
            progress.copy = undefined;
            progress.attempt = attempt;
            progress.bodyUnread = undefined;
            progress.endpoint = endpoint;
            progress.slowness = deps.engines.slownessOf(incarnation);
            if (copy) deps.copies.end(head.id, true);
            progress.standby = backUp === undefined ? undefined : deps.endpoint(backUp);
            if (!endpoint) {
                sink.event({ kind: "lost", attempt, cause: "connect", detail: "the endpoint is no longer registered" });
                return;
            }
            // Decided a moment ago, and the order came since.
            if (deps.isEvacuated(endpoint.hall)) {
                deps.log.info({ req: head.id, endpoint: incarnation, hall: endpoint.hall }, "send_withheld");
                sink.event({ kind: "lost", attempt, cause: "connect", detail: "the endpoint's hall is evacuated" });
                return;
            }
            if (continueAt !== undefined) {
                deps.log.info(
                    { req: head.id, endpoint: incarnation, event: continueAt, last: progress.lastEvent },
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
                    backUpTo: progress.standby?.address,
                    continueFrom: continueAt === undefined
                        ? undefined
                        : continuationOf(progress, head.id, endpoint, copy),
                },
                body: progress.body,
                before: sentBefore(progress, continueAt),
                silence: silenceOf(deps, call, endpoint, backUp),
                sink: guardAttempt(recordProgress(sink, progress), deps.guard, {
                    req: head.id,
                    route: route.name,
                    workspace: workspace?.name,
                    attempt,
                    fingerprint,
                    endpoint,
                    signal,
                }),
                whenRoom: resume => memory.whenRoom(resume),
                holdLimit: () => memory.holdLimit,
                onHeld: bytes => memory.hold(HeldKind.Answer, bytes + (progress.failedAnswer?.body.length ?? 0)),
                onBody: unreadMs => memory.bodyStuckMs = unreadMs,
                onBodyUnread: (bytes, ms) => progress.bodyUnread = { bytes, ms },
                now: () => deps.clock.now(),
                onAnswered: (status, answer) => {
                    progress.answered = { status, framed: answer.framed };
                    if (continueAt !== undefined) logContinuation(deps, head.id, incarnation, status, answer);
                },
                onSaid: (status, said) => deps.words.heard(incarnation, status, said),
                onOtherIncarnation: () => deps.onOtherIncarnation(incarnation),
                life: deps.lives.of(incarnation),
                signal,
            });
        },
        resume: (attempt, _endpoint, _generation, _from, sink) =>
            void sink.event({
                kind: "lost",
                attempt,
                cause: "resumeRefused",
                detail: "calls are not resumed in place",
            }),
        // The connection of an attempt is closed with its signal, which cancels it at its endpoint.
        cancel: () => undefined,
    };
}

/** What the endpoint that was asked to go on with a stream answered. */
function logContinuation(
    deps: Forwarding,
    req: string,
    endpoint: string,
    status: number,
    { isEventStream, framed, notRun }: AnswerHead,
): void {
    deps.log.info({ req, endpoint, status, stream: isEventStream, framed, not_run: notRun }, "continuation_answered");
}
