/** Version that the daemon reports. */
export const VERSION = '0.1.0'
