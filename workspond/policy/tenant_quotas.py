"""The tenants' quotas: which requests go beyond them.

Such requests are not rejected for it. They have a lower priority, see `Settings.over_quota_value_fraction`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from workspond.policy.settings import Settings
from workspond.policy.token_bucket import TokenBucket

BURST_MS = 1_000.0  # a tenant may send the quota of this time at once


@dataclass(slots=True)
class Quota:
    """This replica's part of the quota of one tenant."""

    rate_per_ms: float
    max_burst: float  # requests
    bucket: TokenBucket


class TenantQuotas:
    """Counts requests against the quotas of their tenants, divided evenly among all replicas."""

    def __init__(self, settings: Settings) -> None:
        self._quotas: dict[str, Quota] = {}
        for tenant in settings.tenants:
            if tenant.quota_per_s:
                rate_per_ms = tenant.quota_per_s / settings.replicas / 1000.0
                max_burst = max(1.0, BURST_MS * rate_per_ms)
                # Infinite tokens: the first refill cuts them to a full bucket.
                self._quotas[tenant.name] = Quota(rate_per_ms, max_burst, TokenBucket(math.inf, 0.0))

    def count_request(self, tenant: str, now_ms: float) -> bool:
        """Count a request of a tenant, and return whether it goes beyond the tenant's quota."""
        quota = self._quotas.get(tenant)
        return quota is not None and not quota.bucket.try_take(quota.rate_per_ms, quota.max_burst, now_ms)
