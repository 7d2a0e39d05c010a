/** `bench control`: what one entry instance costs, as slopes. */
export async function control(): Promise<readonly object[]> {
  return [];
}
