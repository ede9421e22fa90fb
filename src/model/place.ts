/** Where a process runs, as its settings say. */
export interface Location {
  /** Place in the sense of declarations: what the data's rules are about. */
  place: string;
  /** Places of one region are near one another; between regions links are costly. */
  region: string;
  /** Unit of failure and of aggregation inside a region. */
  zone: string;
}
