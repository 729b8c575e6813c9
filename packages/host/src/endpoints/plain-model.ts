/**
 * Plain services among the models that decisions know.
 *
 * @module
 */

/** Name under which a plain service's endpoints stand among the models that decisions know. */
export function plainModel(service: string): string {
    return `service:${service}`;
}
