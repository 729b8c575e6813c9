// What a stand-in worker does with requests that it does not run, as PROTOCOL.md says.

/**
 * Answers a health check, a call for the worker's report, a request without an id and one for another worker. Returns whether the
 * request was one of these; any other is the stand-in's to run.
 */
export function answerOther(req, res, workerId) {
    const reply = (status, headers, body = "") => {
        req.resume();
        res.writeHead(status, { ...headers, "Content-Length": Buffer.byteLength(body) }).end(body);
        return true;
    };
    if (req.url === "/healthz") return reply(200, { "Instance-Id": workerId });
    if (req.url === "/drumpaddle/report") {
        const report = { Stage: "both", Models: [], Busy: false, Seq: 1, Queued: 0, Running: 0, KvUsed: 0, KvTotal: 0, Handles: 0 };
        return reply(200, { "Content-Type": "application/json" }, JSON.stringify(report));
    }
    if (req.headers["attempt-id"] === undefined) return reply(400, { "Not-Executed": "1" });
    if (req.headers["expect-instance"] !== workerId) return reply(421, { "Instance-Id": workerId });
    return false;
}
