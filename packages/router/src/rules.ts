/** Selects the call rule of a request. @module */
import type { CallRule, Route } from "@jaytiller/model";

/**
 * Returns the rule with the longest matching prefix among those that allow the
 * method. `path` is the whole path; rules match the part after the key.
 */
export function findRule(
  route: Route,
  method: string,
  path: string,
): CallRule | undefined {
  const rest = path.split("?")[0]!.replace(/^\/[^/]+\/[^/]+/, "") || "/";
  const upper = method.toUpperCase();
  let best: CallRule | undefined;
  for (const rule of route.rules) {
    if (rule.methods.length > 0 && !rule.methods.includes(upper)) continue;
    if (!rest.startsWith(rule.prefix)) continue;
    if (!best || rule.prefix.length > best.prefix.length) best = rule;
  }
  return best;
}
