/** Who offers which records on which link, as the other sides told, and what follows for what is offered to them. */

/** Inside the zone, or to other zones. */
export type LinkClass = 'near' | 'far';

/** Both classes. */
export const LINK_CLASSES: readonly LinkClass[] = ['near', 'far'];

/** A link to another entry. */
export interface OfferLink {
  /** Identity of the entry at the other end. */
  id: string;
  linkClass: LinkClass;
  /** Versions of the records that the other side offers, by home. */
  offered: Map<string, number>;
}

/** The offers on all links of one entry. */
export class Offers {
  readonly links = new Map<string, OfferLink>();
  readonly #self: string;

  constructor(self: string) {
    this.#self = self;
  }

  /** Notes a new link, on which nothing is offered yet. */
  open(id: string, linkClass: LinkClass): OfferLink {
    const link: OfferLink = { id, linkClass, offered: new Map() };
    this.links.set(id, link);
    return link;
  }

  /** The links of a class. */
  linksOf(linkClass: LinkClass): OfferLink[] {
    return [...this.links.values()].filter((link) => link.linkClass === linkClass);
  }

  /** Whether any link offers the record of a home. */
  isHeard(home: string): boolean {
    return [...this.links.values()].some(({ offered }) => offered.has(home));
  }

  /**
   * Whether the record of a home is offered on links of a class: the own one always; inside the zone what links to
   * other zones offer; to other zones what the entries of this zone offer of themselves.
   */
  isOfferedTo(linkClass: LinkClass, home: string): boolean {
    if (home === this.#self) return true;
    if (linkClass === 'near') return this.linksOf('far').some(({ offered }) => offered.has(home));
    const direct = this.links.get(home);
    return direct?.linkClass === 'near' && direct.offered.has(home);
  }

  /** The classes of links on which the record of a home is offered. */
  classesFor(home: string): Set<LinkClass> {
    return new Set(LINK_CLASSES.filter((linkClass) => this.isOfferedTo(linkClass, home)));
  }
}
