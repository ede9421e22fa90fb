/** Location of a process, from its settings. */
export interface Location {
  /** Place to which placement rules of declarations refer: where data may be processed. */
  place: string;
  /** Links within a region are short; links between regions are expensive. */
  region: string;
  /** Failure domain and unit of aggregation within a region. */
  zone: string;
}
