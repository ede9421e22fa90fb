/** Decides in which regions a request may be served: in those that each of its route and its tenant allows. */

/** Regions in which a request may be served; undefined for any. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** The regions that all of `lists` contain; an undefined list contains every region. */
export function commonRegions(lists: Iterable<Iterable<string> | undefined>): AllowedRegions {
  let common: AllowedRegions;
  for (const list of lists) {
    if (list === undefined) continue;
    const regions = new Set(list);
    common = common === undefined ? regions : new Set([...common].filter((region) => regions.has(region)));
  }
  return common;
}

/** @param region - undefined if it is not known, which only a request without a list allows */
export function allowsRegion(allowed: AllowedRegions, region: string | undefined): boolean {
  return allowed === undefined || (region !== undefined && allowed.has(region));
}
