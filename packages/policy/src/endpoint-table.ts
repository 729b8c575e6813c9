/**
 * The endpoints of a hall as a value: a list that is copied on a change and an index that is shared, since endpoints
 * come and go rarely and change with every token.
 *
 * @module
 */
import type { EndpointView } from "./endpoint.js";

/** An immutable table of endpoints by id. */
export class EndpointTable {
    private constructor(
        private readonly list: readonly EndpointView[],
        private readonly index: ReadonlyMap<string, number>,
    ) {}

    /**
     * A table of these endpoints, in their order.
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

    /** The endpoints in their order. */
    values(): readonly EndpointView[] {
        return this.list;
    }

    /** The table with one endpoint replaced; the id must be in it. */
    with(id: string, view: EndpointView): EndpointTable {
        const list = this.list.slice();
        list[this.index.get(id)!] = view;
        return new EndpointTable(list, this.index);
    }
}
