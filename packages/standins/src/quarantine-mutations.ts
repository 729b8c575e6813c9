/**
 * Mutations of what is promised of requests, and of parts that they share, that crash endpoints.
 *
 * @module
 */
import type { Mutation } from "./mutation.js";

const FATAL = "platform/test/fatal-requests.test.ts";
const QUARANTINE = "packages/hall/test/quarantine.test.ts";
const VERDICT = "packages/hall/src/assessment.ts";
const GUARD = "packages/host/src/endpoints/request-guard.ts";
const GUARD_TEST = "packages/host/test/request-guard.test.ts";

/** Broken one at a time by `npm run test:mutations`. */
export const QUARANTINE_MUTATIONS: readonly Mutation[] = [
    {
        promise: "quarantine: nothing is begun after three endings",
        file: "packages/host/src/calls/request-driver.ts",
        find: `if (withheld && !withheld.evidencePendingMs) return this.handle({ kind: "withheld", ...withheld });`,
        replace: "",
        tests: [FATAL],
    },
    {
        promise: "quarantine: hosts tell each other",
        file: GUARD,
        find: "this.deps.share(news);",
        replace: "",
        tests: [FATAL],
    },
    {
        promise: "quarantine: a host that starts asks before it is ready",
        file: "packages/host/src/peers/quarantine-sharing.ts",
        find: "return this.startupQuery.isReady;",
        replace: "return true;",
        tests: ["packages/host/test/quarantine-sharing.test.ts"],
    },
    {
        promise: "quarantine: a life counts once",
        file: "packages/hall/src/endings.ts",
        find: "const known = endings.get(received.life);",
        replace: "const known = undefined as Ending | undefined;",
        tests: [QUARANTINE],
    },
    {
        promise: "quarantine: an endpoint that lives on is no evidence",
        file: "packages/host/src/endpoints/crash-detector.ts",
        find: 'if (sign.kind === "lives") return this.dismiss(incarnation);',
        replace: "",
        tests: [FATAL],
    },
    {
        promise: "quarantine: a planned end is no evidence",
        file: "packages/host/src/endpoints/crash-detector.ts",
        find: "if (this.deps.isLeaving(incarnation)) return this.deps.onNoCrash([run]);",
        replace: "",
        tests: [FATAL],
    },
    {
        promise: "quarantine: nobody is to blame where a rack fails",
        file: VERDICT,
        find: "parts: parts.filter(part => !isMassEnding(part)) };",
        replace: "parts: parts.filter(part => isMassEnding(part) !== undefined) };",
        tests: [QUARANTINE],
    },
    {
        promise: "quarantine: what another explains is not held against a request",
        file: VERDICT,
        find: "for (const { life } of candidate.endings) explained.add(life);",
        replace: "",
        tests: [QUARANTINE],
    },
    {
        promise: "quarantine: a whole run clears",
        file: "packages/hall/src/quarantine.ts",
        find: "{ endings: clearingNews(state.endings, fingerprint, now), trials: [] }",
        replace: "{ endings: [], trials: [] }",
        tests: [QUARANTINE],
    },
    {
        promise: "quarantine: a suspect runs at one endpoint at a time",
        file: "packages/hall/src/quarantine.ts",
        find: "left = Math.max(left, trial.at + TRIAL_TIMEOUT_MS - now);",
        replace: "",
        tests: [QUARANTINE],
    },
    {
        promise: "quarantine: a part that crashes endpoints is withheld in any request",
        file: "packages/host/src/calls/fingerprint.ts",
        find: "return partNames(generation.model, generation.parts, ({ id }) => id.toLowerCase());",
        replace: "return [];",
        tests: ["packages/host/test/fingerprint.test.ts"],
    },
    {
        promise: "quarantine: a body that crashes endpoints is withheld under any path",
        file: "packages/host/src/calls/fingerprint.ts",
        find: "if (!body || body.length === 0 || body.length > MAX_NAMED_BODY_BYTES) return [];",
        replace: "if (body !== null) return [];",
        tests: ["packages/host/test/fingerprint.test.ts"],
    },
    {
        promise: "quarantine: an answer clears the parts of its request",
        file: GUARD,
        find: "if (isSuspect(this.state, part)) this.clearAnsweredPart(part, software);",
        replace: "",
        tests: [GUARD_TEST],
    },
    {
        promise: "quarantine: parts of requests that were being answered are not suspected",
        file: GUARD,
        find: "return wasAnswering ? [] : parts;",
        replace: "return wasAnswering === undefined ? [] : parts;",
        tests: [GUARD_TEST],
    },
    {
        promise: "quarantine: a part that was answered recently is not held back to one run at a time",
        file: GUARD,
        find: "return [fingerprint, ...parts.filter(part => !this.isProven(part) || isCulprit(part))];",
        replace: "return [fingerprint, ...parts.filter(part => part !== fingerprint || isCulprit(part))];",
        tests: [GUARD_TEST],
    },
    {
        promise: "quarantine: of parts that always come together, one may be tried alone",
        file: "packages/hall/src/quarantine.ts",
        find: "&& assessment.alternatives.every(part => request.parts.includes(part))",
        replace: "",
        tests: [QUARANTINE],
    },
    {
        promise: "quarantine: an answer by other software clears no part",
        file: "packages/hall/src/endings.ts",
        find: "if (software !== undefined && ending.software !== undefined && ending.software !== software) continue;",
        replace: "",
        tests: [QUARANTINE],
    },
    {
        promise: "quarantine: a part is certain to be withheld only if others like it were answered",
        file: "packages/hall/src/quarantine.ts",
        find: "const isProvisional = !isControlled && shortMs < knownMs;",
        replace: "const isProvisional = isControlled === undefined;",
        tests: [QUARANTINE],
    },
    {
        promise: "quarantine: hosts tell each other what controls a part",
        file: GUARD,
        find:
            "if (this.state.uncontrolled.length > 0) this.applyStep(controlParts(this.state, answer, this.deps.clock.now()));",
        replace: "void answer;",
        tests: [GUARD_TEST],
    },
    {
        promise: "quarantine: drawn bodies push none out",
        file: "packages/hall/src/quarantine.ts",
        find: "Number(culprits.has(b)) - Number(culprits.has(a)) || atB - atA",
        replace: "atB - atA",
        tests: [QUARANTINE],
    },
];
