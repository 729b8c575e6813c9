/**
 * Connectors for undici that report how their sockets end: undici itself does not always pass this on.
 *
 * @module
 */
import { buildConnector } from "undici";
import { resetWhenDestroyed, wasReset } from "../runtime/socket-end.js";

/** Error code of a reset. Undici takes a socket error with this code as the regular end of an answer without a length. */
const RESET_CODE = "ECONNRESET";
/** An error code that undici treats as a failure for every answer. */
const FAILURE_CODE = "CONNECTION_RESET";

/** Connections within a region are established within milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
const HTTP_PORT = "80";
const HTTPS_PORT = "443";
/** TCP keep-alive probes begin after this much silence. */
const TCP_PROBE_DELAY_MS = 1_000;

/** Connects to an endpoint directly. This host resets the connection when it gives it up. */
export const connectDirectly = resetOnDestroy(
    buildConnector({ timeout: CONNECT_TIMEOUT_MS, keepAlive: true, keepAliveInitialDelay: TCP_PROBE_DELAY_MS }),
);

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
 * Wraps a connector so that its connections are reset when this side destroys them, encrypted ones too, see {@link resetWhenDestroyed}.
 *
 * @example
 * ```ts
 * new Agent({ connect: resetOnDestroy(buildConnector({})) });
 * ```
 */
export function resetOnDestroy(connector: buildConnector.connector): buildConnector.connector {
    return (options, callback) => {
        const isEncrypted = options.protocol === "https:";
        const port = options.port || (isEncrypted ? HTTPS_PORT : HTTP_PORT);
        connector({ ...options, protocol: "http:", port }, (...result) => {
            const [, socket] = result;
            if (socket) resetWhenDestroyed(socket);
            // Destroying an encrypted connection destroys the one below.
            if (socket && isEncrypted) connector({ ...options, httpSocket: socket }, callback);
            else callback(...result);
        });
    };
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
