/**
 * Connectors for undici whose sockets tell that they failed, which undici itself does not always pass on.
 *
 * @module
 */
import type { buildConnector } from "undici";

/** The code by which undici knows a reset; the end of an answer without a length is one to it. */
const RESET = "ECONNRESET";
/** A code that is a failure to undici, whatever the answer. */
const RESET_AS_FAILURE = "CONNECTION_RESET";

/**
 * A connector that tells of its sockets' errors before undici's own listeners hear of them.
 *
 * @example
 * ```ts
 * new Client(origin, { connect: noteFailures(buildConnector({}), () => failed = true) });
 * ```
 */
export function noteFailures(
    connector: buildConnector.connector,
    onFailure: (err: NodeJS.ErrnoException) => void,
): buildConnector.connector {
    return (options, callback) =>
        connector(options, (...result) => {
            result[1]?.prependListener("error", onFailure);
            callback(...result);
        });
}

/**
 * A connector whose sockets' resets break every answer that is not whole, also one whose end only its connection tells.
 *
 * @example
 * ```ts
 * new Agent({ connect: failOnReset(buildConnector({})) });
 * ```
 */
export function failOnReset(connector: buildConnector.connector): buildConnector.connector {
    return noteFailures(connector, err => {
        if (err.code === RESET) err.code = RESET_AS_FAILURE;
    });
}
