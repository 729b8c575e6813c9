/**
 * Model names under which the scheduler knows plain services.
 *
 * @module
 */

/** The model name under which the scheduler knows the endpoints of a plain service. */
export function plainModel(service: string): string {
    return `service:${service}`;
}
