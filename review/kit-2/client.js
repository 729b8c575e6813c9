/** A stand-in for a client: single requests and streams on connections of an agent. */
import { request } from "node:http";
import { HOST } from "./config.js";

let sent = 0;

/** Sends a request; resolves with when it was sent and what came back. Status 0: the connection ended without an answer. */
export function call(port, { path, key, method = "POST", agent, deadlineMs = 1000 }) {
    sent += 1;
    const id = sent.toString(16).padStart(16, "0");
    const at = performance.now();
    return new Promise(resolve => {
        const done = (status, seal) => resolve({ id, at, port, path, key, status, seal, ms: performance.now() - at });
        const req = request({
            host: "127.0.0.1",
            port,
            method,
            path,
            agent,
            headers: {
                "Host": HOST,
                "Attempt-Id": id,
                "Deadline-Ms": deadlineMs,
                "Authorization": `Token ${key}`,
                ...(method === "POST" ? { "Content-Length": 5 } : {}),
            },
        }, res => {
            res.resume();
            res.on("end", () => done(res.statusCode, res.headers["response-seal"]));
            res.on("error", () => done(0));
        });
        req.on("error", () => done(0));
        req.end(method === "POST" ? "hello" : undefined);
    });
}

/** Sends a request for a stream; resolves with its status, the ids of its events, and whether it came whole. */
export function stream(port, { path, key, agent, promptTokens = 1460, mostTokens = 600 }) {
    sent += 1;
    const id = sent.toString(16).padStart(16, "0");
    const at = performance.now();
    return new Promise(resolve => {
        let text = "";
        const done = (status, isWhole) => {
            const events = [...text.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event));
            resolve({ id, at, status, isWhole, events });
        };
        const req = request({
            host: "127.0.0.1",
            port,
            method: "POST",
            path,
            agent,
            headers: {
                "Host": HOST,
                "Attempt-Id": id,
                "Model": "m",
                "Token-Count": `${promptTokens},${mostTokens}`,
                "Prompt-Prefix": `5c1e07a2:79,${id}:${promptTokens - 79}`,
                "Deadline-Ms": 39_000,
                "Authorization": `Token ${key}`,
                "Content-Length": 5,
            },
        }, res => {
            res.on("data", chunk => text += chunk);
            res.on("end", () => done(res.statusCode, true));
            res.on("error", () => done(res.statusCode, false));
        });
        req.on("error", () => done(0, false));
        req.end("hello");
    });
}
