package standin

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("HTTPUpstream", func() {
	It("records each request when it starts, including one whose response is aborted", func() {
		// Guards against a ledger without the requests whose outcome the client does not
		// know.
		u := NewHTTPUpstream("")
		server := httptest.NewServer(u)
		DeferCleanup(server.Close)
		_, err := http.Post(server.URL+"/orders?break=1", "text/plain", nil)
		Expect(err).To(HaveOccurred())
		resp, err := http.Post(server.URL+"/orders", "text/plain", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(u.Runs()).To(Equal([]HTTPRun{
			{Number: 1, Method: "POST", Target: "/orders?break=1"},
			{Number: 2, Method: "POST", Target: "/orders", Complete: true},
		}))
	})
})
