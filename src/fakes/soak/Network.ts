/** Reachability between the failure domains, and of the platform. */
export const PLATFORM = 'platform';

export class Network {
  private readonly cuts = new Map<string, number>();

  /**
   * Cuts the link between two failure domains, or between a failure domain and `PLATFORM`. Cuts are
   * counted: each needs its own `restore`.
   */
  public cut(a: string, b: string): void {
    const key = Network.key(a, b);
    this.cuts.set(key, (this.cuts.get(key) ?? 0) + 1);
  }

  public restore(a: string, b: string): void {
    const key = Network.key(a, b);
    this.cuts.set(key, Math.max(0, (this.cuts.get(key) ?? 0) - 1));
  }

  public reaches(a: string, b: string): boolean {
    return a === b || (this.cuts.get(Network.key(a, b)) ?? 0) === 0;
  }

  private static key(a: string, b: string): string {
    return a < b ? `${a}|${b}` : `${b}|${a}`;
  }
}
