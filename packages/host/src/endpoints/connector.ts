/**
 * Connectors for undici that report how their sockets end: undici itself does not always pass this on.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/** Error code of a reset. Undici takes a socket error with this code as the regular end of an answer without a length. */
const RESET_CODE = "ECONNRESET";
/** An error code that undici treats as a failure for every answer. */
const FAILURE_CODE = "CONNECTION_RESET";

/**
 * Called before undici's own listeners when a socket ends. `failed` is true if the peer reset the connection, if the socket
 * emitted an error, or if this side destroyed it with an error.
 */
export type OnSocketEnd = (failed: boolean) => void;

/**
 * Wraps a connector so that it reports how its sockets end. A reset fails every incomplete answer, including an answer
 * without a length, whose end is marked only by the end of its connection.
 *
 * @example
 * ```ts
 * new Client(origin, { connect: noteEnds(buildConnector({}), failed => log(failed)) });
 * ```
 */
export function reportSocketEnds(connector: buildConnector.connector, onEnd: OnSocketEnd): buildConnector.connector {
    return (options, callback) =>
        connector(options, (...result) => {
            const [, socket] = result;
            socket?.prependListener("error", (err: NodeJS.ErrnoException) => {
                if (err.code === RESET_CODE) err.code = FAILURE_CODE;
                onEnd(true);
            });
            socket?.prependListener("end", () => onEnd(wasReset(socket)));
            callback(...result);
        });
}

/**
 * Wraps a connector so that a reset fails every incomplete answer.
 *
 * @example
 * ```ts
 * new Agent({ connect: failOnReset(buildConnector({})) });
 * ```
 */
export function failOnReset(connector: buildConnector.connector): buildConnector.connector {
    return reportSocketEnds(connector, () => undefined);
}

/**
 * Whether a socket that ended was reset. If a reset follows directly on data, Node emits `end` and no error; but the operating
 * system no longer knows the peer address of a connection that was reset.
 */
function wasReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}
