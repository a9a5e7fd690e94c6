/** Entries of the platform's list of VMs. @module */
import type { ServiceName, VmId, Zone } from "./ids.js";

/** What a VM runs: a router or a backend server. */
export enum VmKind {
  Entry = "entry",
  Backend = "backend",
}

/** State of a VM on the platform's list. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}

/** A VM on the platform's list. The list lags behind the actual state. */
export interface VmEntry {
  readonly id: VmId;
  readonly kind: VmKind;
  readonly zone: Zone;
  readonly state: VmState;
  /** Set for backend servers only. */
  readonly service?: ServiceName;
  /** `http://ip:port` of a backend server or of an entry VM's caller port. */
  readonly url: string;
  /** `http://ip:port` of the peer port; set for entry VMs only. */
  readonly peerUrl?: string;
  /** `ip:port` of the operator port; set for entry VMs only. */
  readonly operatorAddress?: string;
}

/** Response to `GET /vms`. */
export interface VmList {
  readonly vms: readonly VmEntry[];
  /** Time at which the list was correct, in Unix ms. */
  readonly asOfMs: number;
}
