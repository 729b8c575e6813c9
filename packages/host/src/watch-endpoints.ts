/**
 * Keeps the schedulers' view of the endpoints up to date: from the settings, the load that endpoints report, and the
 * platform's host list.
 *
 * @module
 */
import { fetchEngineLoad, fetchHostList } from "@drumpaddle/protocol";
import type { Host } from "./calls/host.js";
import type { Placement } from "./endpoints/placement.js";
import { plainModel } from "./endpoints/plain-model.js";
import { repeat } from "./runtime/repeat.js";
import type { DeclaredEndpoint, Directory } from "./store/directory.js";

/** Time limit of a request for an endpoint's load, in polling intervals. */
const TIMEOUT_INTERVALS = 2;
/** Bytes of one response with its head, and bytes per second that a host may spend on such responses. */
const LOAD_RESPONSE_BYTES = 300;
const LOAD_BUDGET_BYTES_PER_S = 3_000;
/** Longest interval at which the owner of an endpoint polls it, however large the hall. */
const MAX_LOAD_INTERVAL_MS = 1_000;
/** In halls with more hosts than this, endpoints are polled less often, as hosts ask the owners where to send requests. */
const SMALL_HALL_HOSTS = 12;
/** The host list is fetched as often as this many bytes per second allow, but at most once a second. */
const LIST_BUDGET_BYTES_PER_S = 700;
const MIN_LIST_INTERVAL_MS = 1_000;

/** Starts to follow the settings and to poll endpoints and the host list; ends with the host's signal. */
export function watchEndpoints(host: Host): void {
    const preemptions = new Map<string, number>();
    host.feed.onChange(directory => declareEndpoints(host, directory));
    const intervalMs = host.cfg["control.load-interval"];
    repeat(
        () => {
            for (const endpoint of endpointsToPoll(host)) void pollLoad(host, endpoint, preemptions);
        },
        () =>
            Math.min(
                Math.max(intervalMs, MAX_LOAD_INTERVAL_MS),
                intervalMs * Math.max(1, (host.peers?.live.length ?? 1) / SMALL_HALL_HOSTS),
            ),
        host.signal,
    );
    let listBytes = 0;
    repeat(
        async () => {
            listBytes = await pollHostList(host) ?? listBytes;
        },
        () => Math.max(MIN_LIST_INTERVAL_MS, listBytes / LIST_BUDGET_BYTES_PER_S * 1000),
        host.signal,
    );
}

/** Engines of this hall whose load this host polls: all while that costs little, otherwise those that it owns. */
function endpointsToPoll(host: Host): readonly DeclaredEndpoint[] {
    const engines = [...host.feed.directory?.endpoints.values() ?? []]
        .filter(endpoint => inHall(host, endpoint) && isEngine(host, endpoint));
    const intervalMs = host.cfg["control.load-interval"];
    // While it costs little, every host polls all engines, so that an owner's failure does not delay the news that one leaves.
    const canAskAll = engines.length * LOAD_RESPONSE_BYTES * 1000 / intervalMs <= LOAD_BUDGET_BYTES_PER_S;
    return canAskAll ? engines : engines.filter(endpoint => host.peers?.owns(endpoint.id) === true);
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

function declareEndpoints(host: Host, directory: Directory): void {
    const local = [...directory.endpoints.values()].filter(endpoint => inHall(host, endpoint));
    host.engines.setEndpoints(local.filter(endpoint => isEngine(host, endpoint)));
    const plain = local.filter(endpoint => !isEngine(host, endpoint));
    host.plain.setEndpoints(plain.map(endpoint => ({ ...endpoint, models: [plainModel(endpoint.service)] })));
    for (const endpoint of local) placementOf(host, endpoint).setLeaving(endpoint.id, "settings", endpoint.leaving);
}

async function pollLoad(host: Host, endpoint: DeclaredEndpoint, preemptions: Map<string, number>): Promise<void> {
    const timeout = host.cfg["control.load-interval"] * TIMEOUT_INTERVALS;
    const load = await fetchEngineLoad(host.dispatcher, endpoint.url, timeout, host.signal);
    if (!load || host.signal.aborted) return;
    if (host.engines.setLeaving(endpoint.id, "endpoint", load.leaving)) host.peers?.shareLoadNow();
    host.engines.report(endpoint.id, { ...load, at: host.clock.now() - load.ageMs });
    const before = preemptions.get(endpoint.id) ?? load.preemptions;
    preemptions.set(endpoint.id, load.preemptions);
    host.metrics.countPreemptions(endpoint.id, load.preemptions - before);
}

/** Fetches and applies the host list; returns the size of the response in bytes. */
async function pollHostList(host: Host): Promise<number | undefined> {
    const url = host.cfg["platform.host-list"];
    if (url === undefined) return undefined;
    const response = await fetchHostList(url, host.cfg["host.hall"], host.cfg["platform.timeout"], host.signal);
    if (!response) return undefined;
    const peers = response.hosts.filter(machine => machine.peer !== undefined && machine.state === "live");
    host.peers?.setListedHosts(peers.map(machine => machine.peer!));
    for (const machine of response.hosts) {
        const endpoint = machine.endpoint === undefined
            ? undefined
            : host.feed.directory?.endpoints.get(machine.endpoint);
        if (endpoint) placementOf(host, endpoint).setLeaving(endpoint.id, "hostList", machine.state === "leaving");
    }
    return response.bytes;
}
