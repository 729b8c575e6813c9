/**
 * Reports when a request leaves. An error's code tells nothing of that: an established connection can fail with the codes of one that
 * never was.
 *
 * @module
 */
import type { Dispatcher } from "undici";

function reportingHandler(handler: Dispatcher.DispatchHandler, onSending: () => void): Dispatcher.DispatchHandler {
    return {
        onRequestStart: (controller, context) => {
            onSending();
            handler.onRequestStart?.(controller, context);
        },
        onRequestUpgrade: (...upgrade) => handler.onRequestUpgrade?.(...upgrade),
        onResponseStart: (...start) => handler.onResponseStart?.(...start),
        onResponseData: (...data) => handler.onResponseData?.(...data),
        onResponseEnd: (...end) => handler.onResponseEnd?.(...end),
        onResponseError: (...failure) => handler.onResponseError?.(...failure),
    };
}

/**
 * Wraps a dispatcher so that it calls back before the first byte of a request is written to an established connection. If the callback
 * throws, nothing is written and the request fails with that error.
 *
 * @example
 * ```ts
 * let sent = false;
 * await request(url, { dispatcher: reportSending(agent, () => sent = true) });
 * ```
 */
export function reportSending(dispatcher: Dispatcher, onSending: () => void): Dispatcher {
    return dispatcher.compose(dispatch => (options, handler) =>
        dispatch(options, reportingHandler(handler, onSending))
    );
}
