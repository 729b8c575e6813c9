import { FailCode, notRunError, type RequestError, requestError } from "@drumpaddle/request";
import test from "ava";
import { errorHeaders, toApiError } from "../src/calls/caller-answer.js";

/** Callers and proxies take these to mean that the call may have run, and do not send it again. */
const MAY_HAVE_RUN_STATUSES = [502, 504];
const SOON_MS = 250;

for (const code of Object.values(FailCode)) {
    test(`${code}: a call that did not run is never answered as if it may have run`, t => {
        const { status } = toApiError(notRunError(code, "nothing was sent", SOON_MS));
        t.false(MAY_HAVE_RUN_STATUSES.includes(status), `${status}`);
    });
}

for (const code of [FailCode.EndpointLost, FailCode.DeadlinePassed]) {
    test(`${code}: 503 with a retry delay only if nothing ran`, t => {
        const apart = toApiError(notRunError(code, "nothing was sent", SOON_MS));
        t.is(apart.status, 503);
        t.like(errorHeaders(apart), { "retry-after": "1", "x-should-retry": "true", "x-ran": "no" });
        const unknown: RequestError = requestError(undefined, false, code, "it broke", SOON_MS);
        const told = toApiError(unknown);
        t.true(MAY_HAVE_RUN_STATUSES.includes(told.status), `${told.status}`);
        t.like(errorHeaders(told), { "x-should-retry": "false", "x-ran": "unknown" });
    });
}
