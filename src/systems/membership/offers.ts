/** The records that other entries offer on each link, and, derived from these, the records to offer to them. */

/** `near`: to an entry of the same zone; `far`: to an entry of another zone. */
export type LinkClass = 'near' | 'far';

export const LINK_CLASSES: readonly LinkClass[] = ['near', 'far'];

/** A link to another entry. */
export interface OfferLink {
  /** Identity of the entry at the other end. */
  id: string;
  linkClass: LinkClass;
  /** Versions of the records offered by the other side, by home entry. */
  offered: Map<string, number>;
}

/** The links of one entry and the records offered on them. */
export class Offers {
  readonly links = new Map<string, OfferLink>();
  readonly #self: string;

  constructor(self: string) {
    this.#self = self;
  }

  /** Adds a new link, on which nothing is offered yet. */
  open(id: string, linkClass: LinkClass): OfferLink {
    const link: OfferLink = { id, linkClass, offered: new Map() };
    this.links.set(id, link);
    return link;
  }

  linksOf(linkClass: LinkClass): OfferLink[] {
    return [...this.links.values()].filter((link) => link.linkClass === linkClass);
  }

  /** Whether the record of a home is offered on any link. */
  isOffered(home: string): boolean {
    return [...this.links.values()].some(({ offered }) => offered.has(home));
  }

  /**
   * Whether this entry offers the record of a home on links of a class. Its own record is offered on all links. Records
   * received from other zones are offered within the zone, and an entry's own record received from within the zone is
   * offered to other zones.
   */
  isOfferedTo(linkClass: LinkClass, home: string): boolean {
    if (home === this.#self) return true;
    if (linkClass === 'near') return this.linksOf('far').some(({ offered }) => offered.has(home));
    const direct = this.links.get(home);
    return direct?.linkClass === 'near' && direct.offered.has(home);
  }

  /** The classes of links on which this entry offers the record of a home. */
  classesFor(home: string): Set<LinkClass> {
    return new Set(LINK_CLASSES.filter((linkClass) => this.isOfferedTo(linkClass, home)));
  }
}
