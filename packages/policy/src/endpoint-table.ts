/**
 * An immutable table of endpoints. A change copies the list and shares the index by id: endpoints are added and removed
 * rarely, while each one's view changes with every token.
 *
 * @module
 */
import type { EndpointView } from "./endpoint.js";

/** An immutable table of endpoints by id, in a fixed order. */
export class EndpointTable {
    private constructor(
        private readonly list: readonly EndpointView[],
        private readonly index: ReadonlyMap<string, number>,
    ) {}

    /**
     * Creates a table of these endpoints, in the given order.
     *
     * @example
     * ```ts
     * EndpointTable.of([createEndpoint(cfg, now)]).get("e1");
     * ```
     */
    static of(views: readonly EndpointView[]): EndpointTable {
        return new EndpointTable(views, new Map(views.map((view, at) => [view.cfg.id, at])));
    }

    get(id: string): EndpointView | undefined {
        const at = this.index.get(id);
        return at === undefined ? undefined : this.list[at];
    }

    /** All endpoints, in table order. */
    values(): readonly EndpointView[] {
        return this.list;
    }

    /** Returns the table with one endpoint replaced; the id must be in it. */
    with(id: string, view: EndpointView): EndpointTable {
        const list = this.list.slice();
        list[this.index.get(id)!] = view;
        return new EndpointTable(list, this.index);
    }
}
