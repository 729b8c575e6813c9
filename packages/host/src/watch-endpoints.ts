/**
 * Keeps the decisions' picture of the endpoints: what the settings declare, what the endpoints report of themselves, and
 * what the platform's host list says.
 *
 * @module
 */
import { fetchHosts, fetchLoad } from "@drumpaddle/protocol";
import type { DeclaredEndpoint, Directory } from "./directory.js";
import type { Host } from "./host.js";
import type { Placement } from "./placement.js";
import { plainModel } from "./plain.js";

/** How long an answer of an endpoint or the host list may take, as a share of the time between two questions. */
const TIMEOUT_SHARE = 2;
/** Bytes of one answer about load with its head, and what a host may spend on such answers in a second. */
const LOAD_ANSWER_BYTES = 300;
const LOAD_BUDGET_BYTES_PER_S = 3_000;

/** Starts to watch; ends with the host's signal. */
export function watchEndpoints(host: Host): void {
    const preemptions = new Map<string, number>();
    host.feed.onChange(directory => declare(host, directory));
    const every = host.cfg["control.load-interval"];
    const timer = setInterval(() => {
        const engines = [...host.feed.directory?.endpoints.values() ?? []]
            .filter(endpoint => inHall(host, endpoint) && isEngine(host, endpoint));
        // While it costs little every host asks for itself, so that no owner's death delays a sign of leaving.
        const all = engines.length * LOAD_ANSWER_BYTES * 1000 / every <= LOAD_BUDGET_BYTES_PER_S;
        for (const endpoint of engines) {
            if (all || host.peers?.owns(endpoint.id) === true) void askLoad(host, endpoint, preemptions);
        }
        void askHostList(host);
    }, every);
    host.signal.addEventListener("abort", () => clearInterval(timer), { once: true });
}

function isEngine(host: Host, endpoint: DeclaredEndpoint): boolean {
    return host.feed.directory?.services.get(endpoint.service) === "engine";
}

function inHall(host: Host, endpoint: DeclaredEndpoint): boolean {
    return endpoint.hall === host.cfg["host.hall"];
}

function placementOf(host: Host, endpoint: DeclaredEndpoint): Placement {
    return isEngine(host, endpoint) ? host.engines : host.plain;
}

function declare(host: Host, directory: Directory): void {
    const local = [...directory.endpoints.values()].filter(endpoint => inHall(host, endpoint));
    host.engines.setEndpoints(local.filter(endpoint => isEngine(host, endpoint)));
    const plain = local.filter(endpoint => !isEngine(host, endpoint));
    host.plain.setEndpoints(plain.map(endpoint => ({ ...endpoint, models: [plainModel(endpoint.service)] })));
    for (const endpoint of local) placementOf(host, endpoint).setLeaving(endpoint.id, "settings", endpoint.leaving);
}

async function askLoad(host: Host, endpoint: DeclaredEndpoint, preemptions: Map<string, number>): Promise<void> {
    const timeout = host.cfg["control.load-interval"] * TIMEOUT_SHARE;
    const load = await fetchLoad(host.dispatcher, endpoint.url, timeout, host.signal);
    if (!load || host.signal.aborted) return;
    host.engines.setLeaving(endpoint.id, "endpoint", load.leaving);
    host.engines.report(endpoint.id, { ...load, at: performance.now() - load.ageMs });
    const before = preemptions.get(endpoint.id) ?? load.preemptions;
    preemptions.set(endpoint.id, load.preemptions);
    host.metrics.countPreemptions(endpoint.id, load.preemptions - before);
}

async function askHostList(host: Host): Promise<void> {
    const url = host.cfg["platform.host-list"];
    if (url === undefined) return;
    const machines = await fetchHosts(url, host.cfg["platform.timeout"], host.signal);
    if (!machines) return;
    const peers = machines.filter(machine => machine.peer !== undefined && machine.state === "live");
    host.peers?.setListed(peers.map(machine => machine.peer!));
    for (const machine of machines) {
        const endpoint = machine.endpoint === undefined
            ? undefined
            : host.feed.directory?.endpoints.get(machine.endpoint);
        if (endpoint) placementOf(host, endpoint).setLeaving(endpoint.id, "hostList", machine.state === "leaving");
    }
}
