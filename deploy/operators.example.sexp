; What operators may switch on beside the platform's configuration: PROXY_OPERATORS names a file like this one.
; A section that is not there is off, and nothing of it is loaded.

; Write the traffic that the gateway meets to a file of a bounded size, for `mapleshunt record show` and
; `mapleshunt model fit`. Customers are hashed with the salt, which is the same at all gateways.
(record
  (file "/var/tmp/mapleshunt.rec")
  (size-mb 16)
  (salt "change me"))
